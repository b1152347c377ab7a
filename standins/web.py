"""A small JSON-over-HTTP server with one thread per connection, shared by the stand-ins."""

import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class Handler(BaseHTTPRequestHandler):
    """Decode a request, call the server's app, and encode the answer."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self) -> None:
        """Tell the app that a connection opened."""
        super().setup()
        self.connection_state = self.server.app.connected()

    def finish(self) -> None:
        """Tell the app that the connection closed."""
        self.server.app.disconnected(self.connection_state)
        super().finish()

    def handle_one_request(self) -> None:
        """Serve one request; treat a reset as a close."""
        try:
            super().handle_one_request()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(length) if length else b""
        parts = urlsplit(self.path)
        query = dict(parse_qsl(parts.query))
        body = json.loads(raw) if raw else {}
        answer = self.server.app.handle(
            self.connection_state, self.command, parts.path, query, body
        )
        if answer is None:
            self.close_connection = True
            return
        status, value = answer
        payload = json.dumps(value, separators=(",", ":")).encode()
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(payload)}\r\n\r\n"
        self.wfile.write(head.encode() + payload)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

    def log_message(self, *args: Any) -> None:
        """Stay silent."""


class Server(ThreadingHTTPServer):
    """Serve one app on one port."""

    daemon_threads = True
    request_queue_size = 512
    block_on_close = False

    def __init__(self, *, app: Any, port: int, ip: str = "127.0.0.1") -> None:
        self.app = app
        super().__init__((ip, port), Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore callers that went away."""
