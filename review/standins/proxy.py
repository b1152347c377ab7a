"""A TCP proxy on the way to the cloud API that can hold one request, like a cut that heals."""

import socket
import threading
import time
from contextlib import suppress


class HoldingProxy:
    """Relay connections; hold the first promotion order of one source once it is armed.

    on_order is called when that order has arrived here. A held order is delivered after hold_s,
    unless its sender has reset or closed the connection by then.
    """

    def __init__(self, *, address, target, source_ip, hold_s, on_order, log):
        self.armed = False
        self._target = target
        self._source_ip = source_ip
        self._hold_s = hold_s
        self._on_order = on_order
        self._log = log
        self._listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, (ip, _) = self._listener.accept()
            threading.Thread(target=self._relay, args=(sock, ip), daemon=True).start()

    def _relay(self, sock, ip):
        upstream = socket.create_connection(self._target)
        threading.Thread(target=self._copy, args=(upstream, sock), daemon=True).start()
        with suppress(OSError):
            while data := sock.recv(65536):
                if self.armed and ip == self._source_ip and b"/promote" in data:
                    self.armed = False
                    self._log(f"the proxy holds an order of {ip}")
                    self._on_order()
                    if not self._wait(sock):
                        self._log("the sender has given the order up: it is dropped")
                        break
                    self._log("the proxy delivers the order")
                upstream.sendall(data)
        upstream.close()
        sock.close()

    def _wait(self, sock):
        """Wait while the order is held; return False if its sender closes or resets."""
        until = time.monotonic() + self._hold_s
        while time.monotonic() < until:
            sock.setblocking(False)
            try:
                if not sock.recv(1, socket.MSG_PEEK):
                    return False
            except BlockingIOError:
                pass
            except OSError:
                return False
            finally:
                sock.setblocking(True)
            time.sleep(0.01)
        return True

    @staticmethod
    def _copy(source, target):
        with suppress(OSError):
            while data := source.recv(65536):
                target.sendall(data)
        with suppress(OSError):
            target.shutdown(socket.SHUT_RDWR)
