"""Thrift client of the other hosts, with pooled connections, and the server for their calls."""

import socket
import threading
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, Protocol

import msgspec
from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import (
    TBinaryProtocolAccelerated,
    TBinaryProtocolAcceleratedFactory,
)
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TException
from thrift.transport import TSocket, TTransport
from urllib3.util.wait import wait_for_read

from wagtailloft.adapters.sockets import set_tcp_options
from wagtailloft.controllers.object_cache import Delta
from wagtailloft.controllers.token_bucket import Grant, GrantRequest
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gen.peer import Peer, ttypes
from wagtailloft.models import REMOVED, Answer, Call, Change, Host, Record, decode
from wagtailloft.ranges import Age, Count
from wagtailloft.supervision import Supervisor

# What encoding a call and decoding its response raise, besides the errors of the connection.
CODEC_ERRORS = (ValueError, TypeError, OverflowError, RecursionError, msgspec.DecodeError)
CONNECT_TIMEOUT_S = 0.5
PEER_CALL_TIMEOUT_S = 0.8
RESPONSE_GRACE_S = 0.25  # added to the call's budget, so that the response can arrive
MAX_IDLE_CONNECTIONS = 64  # per host


class GossipDigest(Record):
    """A host's settings revision, its freshness, and the states of hosts that it reports.

    The platform_age is the time in seconds since the sender's settings were last known to be
    current; fresh means that this age is within the sender's maximum. forgotten holds changes in
    force that the store has lost, with the revisions of their writes.
    """

    sender: str
    revision: int
    platform_age: float
    fresh: bool
    updates: tuple[Host, ...]
    forgotten: tuple[Change, ...] = ()


class Peers(Protocol):
    """Client for calls to the other hosts of the fleet."""

    def exchange(self, host: Host, digest: GossipDigest) -> GossipDigest:
        """Exchange gossip digests; raise NotSent or NoResponse."""

    def pull(self, host: Host, after: int) -> Delta:
        """Fetch the changes after a revision; raise NotSent or NoResponse."""

    def probe(self, host: Host, other: str) -> bool:
        """Ask a host whether it reaches another; raise NotSent or NoResponse."""

    def work(self, host: Host, call: Call) -> Result[Answer, Refusal]:
        """Run a call at the group's owner; raise NotSent or NoResponse."""

    def tokens(self, host: Host, request: GrantRequest) -> Result[Grant, Refusal]:
        """Request rate tokens from the token owner; raise NotSent or NoResponse."""

    def explain(self, host: Host, subject: str) -> str:
        """Return a host's decisions about a subject as JSON; raise NotSent or NoResponse."""

    def describe(self, host: Host) -> str:
        """Return a host's status as JSON; raise NotSent or NoResponse."""


class _Connection:
    def __init__(self, *, host: Host, source: str) -> None:
        address = (host.ip, host.peer_port)
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S, (source, 0))
        except OSError as exc:
            raise NotSent(f"connect to {host.name}") from exc
        set_tcp_options(sock)
        self._socket = TSocket.TSocket(host.ip, host.peer_port)
        self._socket.setHandle(sock)
        transport = TTransport.TBufferedTransport(self._socket)
        self.client = Peer.Client(TBinaryProtocolAccelerated(transport))

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and has no unread data."""
        return not wait_for_read(self._socket.handle, timeout=0)

    def set_timeout(self, timeout: float) -> None:
        self._socket.setTimeout(timeout * 1000)

    def close(self) -> None:
        self._socket.close()


class ThriftPeers:
    """Peers over pooled thrift connections.

    A connection whose call failed is closed, with all idle connections to the same host.
    """

    def __init__(self, *, source: str) -> None:
        self._source = source
        self._lock = threading.Lock()
        self._idle: dict[str, deque[_Connection]] = defaultdict(deque)

    def exchange(self, host: Host, digest: GossipDigest) -> GossipDigest:
        """Exchange gossip digests; raise NotSent or NoResponse."""
        return self._call(host, "exchange", to_thrift_digest(digest), convert=from_thrift_digest)

    def pull(self, host: Host, after: int) -> Delta:
        """Fetch the changes after a revision; raise NotSent or NoResponse."""
        return self._call(host, "pull", after, convert=from_thrift_delta)

    def probe(self, host: Host, other: str) -> bool:
        """Ask a host whether it reaches another; raise NotSent or NoResponse."""
        return self._call(host, "probe", other)

    def work(self, host: Host, call: Call) -> Result[Answer, Refusal]:
        """Run a call at the group's owner; raise NotSent or NoResponse."""
        request = ttypes.Work(call.request_id, msgspec.json.encode(call))
        return self._call(
            host,
            "work",
            request,
            timeout=call.budget + RESPONSE_GRACE_S,
            convert=lambda result: _decode_work_result(result, call.request_id),
        )

    def tokens(self, host: Host, request: GrantRequest) -> Result[Grant, Refusal]:
        """Request rate tokens from the token owner; raise NotSent or NoResponse."""
        value = ttypes.TokenAsk(
            team=request.team,
            host=request.host,
            number=request.number,
            held=request.held,
            wanted=request.wanted,
        )
        return self._call(host, "tokens", value, convert=_decode_grant)

    def explain(self, host: Host, subject: str) -> str:
        """Return a host's decisions about a subject as JSON; raise NotSent or NoResponse."""
        return self._call(host, "explain", subject)

    def describe(self, host: Host) -> str:
        """Return a host's status as JSON; raise NotSent or NoResponse."""
        return self._call(host, "describe")

    def close_idle(self, host: Host) -> None:
        """Close the idle connections to a host."""
        with self._lock:
            connections = self._idle.pop(_address(host), deque())
        for connection in connections:
            connection.close()

    def _call(
        self,
        host: Host,
        method: str,
        *args: object,
        timeout: float = PEER_CALL_TIMEOUT_S,
        convert: Callable[[Any], Any] = lambda response: response,
    ) -> Any:
        """Return the decoded response; one that can't be decoded counts as none."""
        connection = self._acquire(host)
        connection.set_timeout(timeout)
        try:
            response = convert(getattr(connection.client, method)(*args))
        except (TException, OSError, EOFError, *CODEC_ERRORS) as exc:
            connection.close()
            self.close_idle(host)
            raise NoResponse(f"{host.name}: {type(exc).__name__}") from exc
        self._release(host, connection)
        return response

    def _acquire(self, host: Host) -> _Connection:
        while True:
            with self._lock:
                idle = self._idle[_address(host)]
                connection = idle.pop() if idle else None
            if connection is None:
                return _Connection(host=host, source=self._source)
            if connection.usable:
                return connection
            connection.close()

    def _release(self, host: Host, connection: _Connection) -> None:
        with self._lock:
            idle = self._idle[_address(host)]
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()


class PeerServer:
    """Thrift server for calls from other hosts."""

    def __init__(self, *, ip: str, port: int, handler: object, supervisor: Supervisor) -> None:
        self._supervisor = supervisor
        self._stopped = False
        self._socket = TSocket.TServerSocket(host=ip, port=port)
        self._server = TThreadedServer(
            Peer.Processor(handler),
            _ServerSocket(inner=self._socket),
            TTransport.TBufferedTransportFactory(),
            TBinaryProtocolAcceleratedFactory(),
            daemon=True,
        )
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to serve in a background thread."""
        self._thread = self._supervisor.start_thread(
            "serve_peers", self._server.serve, is_stopped=lambda: self._stopped
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        self._stopped = True
        listener = self._socket.handle
        self._socket.handle = None
        if listener is not None:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
            listener.close()

    def is_serving(self) -> bool:
        """Tell whether connections are accepted, or will be once the thread listens."""
        return self._thread is not None and self._thread.is_alive()


class _ServerSocket:
    def __init__(self, *, inner: TSocket.TServerSocket) -> None:
        self._inner = inner

    def listen(self) -> None:
        self._inner.listen()

    def accept(self) -> TSocket.TSocket:
        """Return the next connection; end the server's thread once the socket is closed."""
        try:
            client = self._inner.accept()
        except (OSError, AttributeError):
            if self._inner.handle is not None:
                raise
            raise SystemExit from None  # the server would log any other exception, and go on
        if client is not None:
            set_tcp_options(client.handle)
        return client

    def close(self) -> None:
        self._inner.close()


def _decode_work_result(result: ttypes.WorkResult, request_id: str) -> Result[Answer, Refusal]:
    """Return the result of a call; raise ValueError if it is another call's."""
    if result.request_id != request_id:
        raise ValueError("the response has another request's id")
    if result.kind is not None:
        return Err(Refusal(kind=Kind(result.kind), detail=result.detail or ""))
    return Ok(decode(result.body, Answer))


def _decode_grant(grant: ttypes.TokenGrant) -> Result[Grant, Refusal]:
    if grant.kind is not None:
        return Err(Refusal(kind=Kind(grant.kind)))
    fields = {"number": grant.number, "tokens": grant.tokens, "wait": grant.wait}
    return Ok(msgspec.convert(fields, Grant))


def decode_grant_request(ask: ttypes.TokenAsk) -> GrantRequest:
    """Convert a request for tokens from its thrift form; raise ValueError for odd numbers."""
    fields = {f: getattr(ask, f) for f in ("team", "host", "number", "held", "wanted")}
    return msgspec.convert(fields, GrantRequest)


def to_thrift_digest(digest: GossipDigest) -> ttypes.Digest:
    """Convert a digest to its thrift form."""
    updates = [
        ttypes.HostNews(h.name, h.incarnation, h.state.value, msgspec.json.encode(h))
        for h in digest.updates
    ]
    return ttypes.Digest(
        sender=digest.sender,
        revision=digest.revision,
        platform_age=digest.platform_age,
        news=updates,
        fresh=digest.fresh,
        forgotten=_to_thrift_changes(digest.forgotten) or None,
    )


def from_thrift_digest(value: ttypes.Digest) -> GossipDigest:
    """Convert a digest from its thrift form; raise ValueError for odd numbers."""
    return GossipDigest(
        sender=value.sender,
        revision=msgspec.convert(value.revision, Count),
        platform_age=msgspec.convert(value.platform_age, Age),
        fresh=value.fresh,
        updates=tuple(decode(n.body, Host) for n in value.news),
        forgotten=_from_thrift_changes(value.forgotten or ()),
    )


def to_thrift_delta(delta: Delta) -> ttypes.Changes:
    """Convert changes to their thrift form."""
    return ttypes.Changes(delta.revision, _to_thrift_changes(delta.changes), delta.whole)


def from_thrift_delta(value: ttypes.Changes) -> Delta:
    """Convert changes from their thrift form; raise ValueError for odd numbers."""
    changes = _from_thrift_changes(value.changes)
    revision = msgspec.convert(value.revision, Count)
    return Delta(revision=revision, changes=changes, whole=value.whole)


def _to_thrift_changes(changes: Iterable[Change]) -> list[ttypes.ObjectChange]:
    return [
        ttypes.ObjectChange(c.kind, c.name, c.revision, None if c.removed else bytes(c.value))
        for c in changes
    ]


def _from_thrift_changes(values: Iterable[ttypes.ObjectChange]) -> tuple[Change, ...]:
    return tuple(
        Change(
            kind=c.kind,
            name=c.name,
            revision=msgspec.convert(c.revision, Count),
            value=REMOVED if c.value is None else msgspec.Raw(c.value),
        )
        for c in values
    )


def _address(host: Host) -> str:
    return f"{host.ip}:{host.peer_port}"
