"""A JSON-over-HTTP server with one thread per connection, for the fake outside systems.

An app has the methods `connected`, which returns its state of a new connection, `handle`, which
returns a status and a JSON value or None to close without a reply, and `disconnected`. If it has
`reply_headers`, that returns the headers of every reply; if it has `handle_headers`, that gets the
headers of each request before `handle` does, on the same thread.
"""

import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class JsonHandler(BaseHTTPRequestHandler):
    """Decode a request, call the server's app and encode the reply."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self) -> None:
        """Report the new connection to the app."""
        super().setup()
        self.connection_state = self.server.app.connected()

    def finish(self) -> None:
        """Report the closed connection to the app."""
        self.server.app.disconnected(self.connection_state)
        super().finish()

    def handle_one_request(self) -> None:
        """Serve one request; treat a reset or a time-out as a closed connection."""
        try:
            super().handle_one_request()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def _handle_request(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        raw_body = self.rfile.read(length) if length else b""
        parts = urlsplit(self.path)
        query = dict(parse_qsl(parts.query))
        body = json.loads(raw_body) if raw_body else {}
        handle_headers = getattr(self.server.app, "handle_headers", None)
        if handle_headers:
            handle_headers(self.connection_state, self.headers)
        reply = self.server.app.handle(self.connection_state, self.command, parts.path, query, body)
        if reply is None:
            self.close_connection = True
            return
        status, value = reply
        payload = json.dumps(value, separators=(",", ":")).encode()
        headers = {"Content-Length": len(payload), **self._app_headers()}
        lines = [f"HTTP/1.1 {status} -", *(f"{k}: {v}" for k, v in headers.items())]
        self.wfile.write("\r\n".join([*lines, "", ""]).encode() + payload)
        self.wfile.flush()

    def _app_headers(self) -> dict[str, Any]:
        reply_headers = getattr(self.server.app, "reply_headers", None)
        return reply_headers() if reply_headers else {}

    do_GET = do_POST = do_PUT = do_DELETE = _handle_request  # noqa: N815

    def log_message(self, *args: Any) -> None:
        """Log nothing."""


class Server(ThreadingHTTPServer):
    """Serve an app on a port."""

    daemon_threads = True
    request_queue_size = 512
    block_on_close = False

    def __init__(self, *, app: Any, port: int, ip: str = "127.0.0.1") -> None:
        self.app = app
        super().__init__((ip, port), JsonHandler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections that the client closed."""
