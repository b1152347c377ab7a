"""A caller asks and does not read; the platform kills processes that exceed their memory."""

import os
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from deployment import Client, Record, Site, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300  # as in the settings
RATE = 100  # of the tenant, a second, and its burst; the pages' example has 68
ROW_BYTES = 1_000_000  # a message may have 1 MiB
CONNECTIONS = 2  # of the caller to a host
QUESTIONS = 250  # on each
RESTART_S = 0.5
ENDS = 3  # of one machine, which make a fault if two machines have them
TIME_LIMIT_S = 80.0


class Guard(threading.Thread):
    """Kill and restart each process whose memory exceeds the limit; `ends` counts by host."""

    def __init__(self, *, site, record):
        super().__init__(daemon=True)
        self.ends = {host.name: 0 for host in site.hosts}
        self.peak_mb = 0.0
        self._site, self._record = site, record

    def run(self):
        """Look at every process, again and again."""
        while True:
            for host in self._site.hosts:
                used_mb = memory_mb(host.process)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    self._end(host, used_mb)
            time.sleep(0.02)

    def _end(self, host, used_mb):
        self._record(f"{host.name} uses {used_mb:.0f} MB of {MEMORY_MB}: killed")
        host.process.kill()
        host.process.wait()
        self.ends[host.name] += 1
        time.sleep(RESTART_S)
        host.start()


def memory_mb(process):
    """Return the resident memory of a process in MiB, 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def main():
    record = Record("record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        with Site(record=record, rate=RATE) as site:
            site.start_hosts()
            prepare(site)
            guard = Guard(site=site, record=record)
            guard.start()
            play(site, guard, record)
            ends, peak_mb = dict(guard.ends), guard.peak_mb
    except Exception as exc:
        finish(record, f"could not run: {exc!r}", 2)
    broken = sum(count >= ENDS for count in ends.values()) >= 2
    finish(record, f"processes killed: {ends}; peak {peak_mb:.0f} MB", 1 if broken else 0)


def prepare(site):
    """Write the item that is read."""
    client = Client(site=site, host=site.hosts[2], database="orders", number=0)
    client.sock.sendall(b"QUERY w1 WRITE big " + b"x" * ROW_BYTES + b"\r\n")
    if not client.receive()[0].startswith("DONE"):
        raise RuntimeError("the item was not written")
    client.close()


def play(site, guard, record):
    """Ask two hosts in turn, until both have ended often enough or the time is up."""
    began, round_number = time.monotonic(), 0
    while time.monotonic() - began < TIME_LIMIT_S:
        round_number += 1
        for host in site.hosts[:2]:
            if guard.ends[host.name] < ENDS:
                ask(site, host, round_number, record)
        if not TROUBLE and round_number == 3:
            return
        if min(guard.ends[h.name] for h in site.hosts[:2]) >= ENDS:
            return


def ask(site, host, round_number, record):
    """Send many questions at once, and read the answers unless that is the trouble."""
    deadline = time.monotonic() + 10.0
    while not host.is_ready():
        if time.monotonic() > deadline:
            return
        time.sleep(0.1)
    count = f"{CONNECTIONS} x {QUESTIONS}"
    record(f"{count} READs to {host.name}, answers are {'not ' if TROUBLE else ''}read")
    ends_at = time.monotonic() + 6.0
    clients = []
    for part in range(CONNECTIONS):
        name = f"{round_number}p{part}"
        client = Client(site=site, host=host, database="orders", number=name)
        questions = (f"QUERY r{name}x{n} READ big\r\n" for n in range(QUESTIONS))
        client.sock.sendall("".join(questions).encode())
        clients.append(client)
    process = host.process
    while time.monotonic() < ends_at and host.process is process:
        time.sleep(0.02)
        if not TROUBLE:
            read_all(clients)
    for client in clients:
        client.close()


def read_all(clients):
    """Read what has arrived."""
    for client in clients:
        client.sock.setblocking(False)
        with suppress(OSError):
            while client.sock.recv(1 << 20):
                pass


main()
