"""A stand-in of the platform: the metadata store, and the cloud API with the promotion call."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, unquote, urlsplit

PAGE_SIZE = 500
HOLDER_HEADER = "Wagtailloft-Duty-Holder"
FENCE_HEADER = "Wagtailloft-Fence-Token"


class Store:
    """Objects with one revision counter, conditional writes, lists and watches."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}  # by kind and name
        self.history = []  # of (revision, kind, event)
        self.revision = 1

    def put(self, kind, name, spec):
        """Write an object unconditionally, as the operator and the members do."""
        with self.changed:
            known = self.objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return
            self._store(kind, name, spec, known)

    def remove(self, kind, name):
        """Remove an object."""
        with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self.revision += 1
                meta = {**known["meta"], "revision": self.revision}
                self._record(kind, {"object": {**known, "meta": meta}, "deleted": True})

    def handle(self, method, path, query, body, headers):
        """Answer a call; return its status and JSON body."""
        parts = [unquote(p) for p in path.strip("/").split("/")]
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) == 3 else ""
        if method == "GET" and "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        with self.changed:
            if method == "GET":
                return self._read(kind, name, query)
            return self._write(method, kind, name, query, body)

    def _read(self, kind, name, query):
        if name:
            known = self.objects.get((kind, name))
            return (200, known) if known else (404, {})
        names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
        items = [self.objects[(kind, n)] for n in names[:PAGE_SIZE]]
        return 200, {"items": items, "has_more": len(names) > PAGE_SIZE, "at": self.revision}

    def _watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                events = [e for r, k, e in self.history if k == kind and r > after]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(remaining)

    def _write(self, method, kind, name, query, body):
        meta = body.get("meta") or {}
        name = name or meta.get("name", "")
        known = self.objects.get((kind, name))
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        expected = int(meta.get("revision") or query.get("revision") or 0)
        if known and expected and expected != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if known and known["spec"] == body.get("spec"):
            return 200, known
        self._store(kind, name, body.get("spec"), known)
        return 200, self.objects[(kind, name)]

    def _store(self, kind, name, spec, known):
        self.revision += 1
        created = known["meta"]["created_rev"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created_rev": created}
        meta |= {"finalizers": [], "deleting": False}
        self.objects[(kind, name)] = {"meta": meta, "spec": spec, "status": None}
        self._record(kind, {"object": self.objects[(kind, name)], "deleted": False})

    def _record(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changed.notify_all()


class CloudApi:
    """The promotion call; `orders` lists each call with its time, holder and token."""

    def __init__(self, *, groups, log):
        self.orders = []
        self._groups = groups
        self._log = log

    def handle(self, method, path, query, body, headers):
        """Start the promotion of the named member."""
        group = self._groups.get(body.get("service", ""))
        if (method, path) != ("POST", "/promote") or group is None:
            return 404, {}
        holder, token = headers.get(HOLDER_HEADER), int(headers.get(FENCE_HEADER) or 0)
        self.orders.append((time.monotonic(), holder, token, body.get("id")))
        status = group.promote(body.get("id"))
        self._log(f"promote {group.name} {body.get('id')} by {holder} token {token}: {status}")
        return status, {}


def serve(app, ip, port):
    """Serve an app over HTTP in the background; return the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _handle(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            url = urlsplit(self.path)
            query = dict(parse_qsl(url.query))
            body = json.loads(raw) if raw else {}
            status, value = app.handle(self.command, url.path, query, body, self.headers)
            data = json.dumps(value).encode()
            head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            self.wfile.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)

        do_GET = do_POST = do_PUT = do_DELETE = _handle

        def log_message(self, *args):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        block_on_close = False
        request_queue_size = 512

        def handle_error(self, request, client_address):
            pass

    server = Server((ip, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
