"""A TCP proxy that injects faults by endpoint and by source IP address.

An endpoint is named; it has a listening address and the target address that it relays to.
"""

import asyncio
import threading
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import fire

from standins.web import Server

CHUNK_BYTES = 65_536
ANY_SOURCE = "*"


class Mode(Enum):
    """What an endpoint does with data.

    PASS relays it. HOLD blocks it, and new connections, until the rule changes. DROP_REPLIES
    relays requests but discards the rest of a connection from its first reply on. TRUNCATE relays
    the first bytes of a reply and closes. RESET aborts open and new connections.
    """

    PASS = "pass"
    HOLD = "hold"
    DROP_REPLIES = "lose_answers"
    TRUNCATE = "truncate"
    RESET = "reset"


@dataclass(frozen=True, kw_only=True)
class Rule:
    """What an endpoint does to connections from one source.

    `delay_s` delays each chunk of data; `keep_bytes` is how much of a reply TRUNCATE relays.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    keep_bytes: int = 0


@dataclass(kw_only=True, eq=False)
class Connection:
    """A relayed connection; once blackholed, its data is read and discarded."""

    source: str
    writers: list[asyncio.StreamWriter]
    blackholed: bool = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


@dataclass(kw_only=True)
class ProxyEndpoint:
    """Relay the connections of an endpoint to its target and record the requests on them."""

    name: str
    target: tuple[str, int]
    rules: dict[str, Rule] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    forwarded_requests: bytearray = field(default_factory=bytearray)

    def rule(self, source: str) -> Rule:
        """Return the rule for a source: its own, else that for any source, else to relay."""
        return self.rules.get(source) or self.rules.get(ANY_SOURCE) or Rule()

    def set_rule(self, source: str, rule: Rule) -> None:
        """Change the rule for a source; RESET also aborts its open connections."""
        self.rules[source] = rule
        if rule.mode is Mode.RESET:
            for connection in list(self.connections):
                if source in (ANY_SOURCE, connection.source):
                    connection.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    def blackhole(self, source: str) -> None:
        """Discard all further data on the connections open now, in both directions.

        The connections stay open, so neither side notices. New connections are relayed.
        """
        for connection in self.connections:
            if source in (ANY_SOURCE, connection.source):
                connection.blackholed = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one accepted connection until either side closes it."""
        source = writer.get_extra_info("peername")[0]
        if self.rule(source).mode is Mode.RESET:
            writer.transport.abort()
            return
        await self._wait_while_held(source)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(source=source, writers=[writer, target_writer])
        self.connections.add(connection)
        requests = self._relay(connection, reader, target_writer, is_reply=False)
        replies = self._relay(connection, target_reader, writer, is_reply=True)
        try:
            await asyncio.gather(requests, replies)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connection.abort()
            self.connections.discard(connection)

    async def _relay(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            rule = self.rule(connection.source)
            if rule.delay_s:
                await asyncio.sleep(rule.delay_s)
            await self._wait_while_held(connection.source)
            rule = self.rule(connection.source)
            if connection.blackholed:
                continue
            if not is_reply:
                self.forwarded_requests += data
            elif rule.mode is Mode.DROP_REPLIES:
                connection.blackholed = True
                continue
            elif rule.mode is Mode.TRUNCATE:
                writer.write(data[: rule.keep_bytes])
                await writer.drain()
                break
            writer.write(data)
            await writer.drain()
        connection.abort()

    async def _wait_while_held(self, source: str) -> None:
        while self.rule(source).mode is Mode.HOLD:
            await self.changed.wait()


class ControlApi:
    """Serve the control API over HTTP; calls run on the proxy's event loop."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._endpoints: dict[str, ProxyEndpoint] = {}

    def connected(self) -> None:
        """Accept a connection; the API keeps no state for it."""

    def disconnected(self, connection: None) -> None:
        """Ignore a closed connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Any:
        """Return the status and body of a call."""
        future = asyncio.run_coroutine_threadsafe(self._handle_call(path, body), self._loop)
        return future.result()

    async def _handle_call(self, path: str, body: dict) -> Any:
        if path == "/open":
            endpoint = ProxyEndpoint(
                name=body["name"], target=(body["target_ip"], body["target_port"])
            )
            await asyncio.start_server(endpoint.serve, body["ip"], body["port"])
            self._endpoints[endpoint.name] = endpoint
            return 200, {}
        if path == "/seen":
            needle = body["needle"].encode()
            return 200, {
                "links": [n for n, e in self._endpoints.items() if needle in e.forwarded_requests]
            }
        for name in body["links"]:
            self._apply_fault(path, self._endpoints[name], body)
        return 200, {}

    def _apply_fault(self, path: str, endpoint: ProxyEndpoint, body: dict) -> None:
        source = body.get("source", ANY_SOURCE)
        if path == "/silence":
            endpoint.blackhole(source)
            return
        rule = Rule(
            mode=Mode(body.get("mode", "pass")),
            delay_s=body.get("delay_s", 0.0),
            keep_bytes=body.get("keep_bytes", 0),
        )
        endpoint.set_rule(source, rule)


def main(ip: str, port: int) -> None:
    """Run the proxy until the process is stopped."""
    loop = asyncio.new_event_loop()
    server = Server(app=ControlApi(loop=loop), port=port, ip=ip)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    loop.run_forever()


if __name__ == "__main__":
    fire.Fire(main)
