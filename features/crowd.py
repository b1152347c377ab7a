"""Clients that send, read or stop as they like, and checks that a host bears them."""

import os
import re
import socket
import threading
import time
from pathlib import Path

import urllib3

from standins.fleet import wait_until
from standins.site import KEY

# Short times, so that a scenario sees what the defaults do after a minute.
TIME_LIMITS = {"startup_ms": 1000, "message_ms": 1000, "unread_ms": 1000}
SERVED_WITHIN_S = 10.0  # for a request that the clients of the scenario delay
SMALL_BUFFER_BYTES = 4096  # of a socket, so that what is not read stays at the host


def connect(address, receive_buffer=0):
    """Return a new connection, with a small receive buffer if one is given."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(5.0)
    sock.connect(address)
    return sock


def open_crowd(stack, addresses, data=b"", receive_buffer=0, chunk=0, pause=0.0):
    """Connect to each address, send data in the background, and hold it until the stack ends."""

    def send(sock):
        size = chunk or len(data)
        try:
            for start in range(0, len(data), max(1, size)):
                sock.sendall(data[start : start + size])
                time.sleep(pause)
        except OSError:
            pass  # the host may refuse any of them

    for address in addresses:
        try:
            sock = connect(address, receive_buffer)
        except OSError:
            continue
        stack.enter_context(sock)
        threading.Thread(target=send, args=(sock,), daemon=True).start()


def startup():
    """Return the message that opens a session."""
    return f"STARTUP orders {KEY}\r\n".encode()


def ready_address(site, host):
    """Return the address of a host's port for probes."""
    url = urllib3.util.parse_url(site.ready_urls[host])
    return url.host, url.port


def usage(process):
    """Return a process's resident megabytes, and how many descriptors it has open."""
    status = Path(f"/proc/{process.handle.pid}/status").read_text()
    kilobytes = int(re.search(r"VmRSS:\s+(\d+)", status)[1])
    return kilobytes / 1024, len(os.listdir(f"/proc/{process.handle.pid}/fd"))


def check_hosts(site, seconds, megabytes, descriptors):
    """Check for some seconds that hosts live within limits, and that they serve afterwards."""
    most = {}
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        observe(site, most)
        time.sleep(0.02)
    for host in site.hosts:
        wait_until(lambda h=host: is_served(site, h), SERVED_WITHIN_S, f"{host}: {most}")
        wait_until(lambda h=host: site.is_ready(h), SERVED_WITHIN_S, f"{host} is not ready: {most}")
    observe(site, most)
    for host, used in most.items():
        assert used[0] <= megabytes and used[1] <= descriptors, (host, most)
    return most


def observe(site, most):
    """Update the most that each host has used; raise AssertionError if a host has ended."""
    for host, process in site.hosts.items():
        assert process.alive, f"{host} ended with {process.handle.returncode}"
        used = usage(process)
        most[host] = tuple(map(max, used, most.get(host, used)))


def is_served(site, host):
    """Tell whether a new caller writes and reads at a host."""
    caller = None
    try:
        caller = site.open_session(host, "accounts")
        caller.query_ok("WRITE ordinary 1")
        return caller.query_ok("READ ordinary")[0] == "ROW 1"
    except (OSError, AssertionError):
        return False
    finally:
        if caller is not None:
            caller.close()
