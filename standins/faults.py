"""A TCP proxy that injects faults by link and by the source's IP number."""

import asyncio
import threading
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import fire

from standins.web import Server

CHUNK = 65_536
ANY = "*"


class Mode(Enum):
    """Name what a link does with bytes."""

    PASS = "pass"
    HOLD = "hold"
    LOSE_ANSWERS = "lose_answers"
    TRUNCATE = "truncate"
    RESET = "reset"


@dataclass(frozen=True, kw_only=True)
class Rule:
    """Hold what happens on a link to connections from one source."""

    mode: Mode = Mode.PASS
    delay_s: float = 0.0
    keep_bytes: int = 0


@dataclass(kw_only=True, eq=False)
class Connection:
    """Hold one relayed connection."""

    source: str
    writers: list[asyncio.StreamWriter]
    dead: bool = False

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


@dataclass(kw_only=True)
class Link:
    """Relay one listening address to one target."""

    name: str
    target: tuple[str, int]
    rules: dict[str, Rule] = field(default_factory=dict)
    connections: set[Connection] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    seen: bytearray = field(default_factory=bytearray)

    def rule(self, source: str) -> Rule:
        """Return the rule for a source."""
        return self.rules.get(source) or self.rules.get(ANY) or Rule()

    def set(self, source: str, rule: Rule) -> None:
        """Change the rule for a source; a reset also aborts what is open."""
        self.rules[source] = rule
        if rule.mode is Mode.RESET:
            for connection in list(self.connections):
                if source in (ANY, connection.source):
                    connection.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, source: str) -> None:
        """Make the connections that are open now silent for good; new ones work."""
        for connection in self.connections:
            if source in (ANY, connection.source):
                connection.dead = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one accepted connection until it ends."""
        source = writer.get_extra_info("peername")[0]
        if self.rule(source).mode is Mode.RESET:
            writer.transport.abort()
            return
        await self._held(source)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(source=source, writers=[writer, far_writer])
        self.connections.add(connection)
        asks = self._relay(connection, reader, far_writer, answers=False)
        answers = self._relay(connection, far_reader, writer, answers=True)
        try:
            await asyncio.gather(asks, answers)
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
        answers: bool,
    ) -> None:
        while data := await reader.read(CHUNK):
            rule = self.rule(connection.source)
            if rule.delay_s:
                await asyncio.sleep(rule.delay_s)
            await self._held(connection.source)
            rule = self.rule(connection.source)
            if connection.dead:
                continue
            if not answers:
                self.seen += data
            elif rule.mode is Mode.LOSE_ANSWERS:
                connection.dead = True
                continue
            elif rule.mode is Mode.TRUNCATE:
                writer.write(data[: rule.keep_bytes])
                await writer.drain()
                break
            writer.write(data)
            await writer.drain()
        connection.abort()

    async def _held(self, source: str) -> None:
        while self.rule(source).mode is Mode.HOLD:
            await self.changed.wait()


class Control:
    """Take orders over HTTP and carry them out on the proxy's loop."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._links: dict[str, Link] = {}

    def connected(self) -> None:
        """Accept any connection."""

    def disconnected(self, connection: None) -> None:
        """Forget a connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Any:
        """Answer one order."""
        done = asyncio.run_coroutine_threadsafe(self._order(path, body), self._loop)
        return done.result()

    async def _order(self, path: str, body: dict) -> Any:
        if path == "/open":
            link = Link(name=body["name"], target=(body["target_ip"], body["target_port"]))
            await asyncio.start_server(link.serve, body["ip"], body["port"])
            self._links[link.name] = link
            return 200, {}
        if path == "/seen":
            needle = body["needle"].encode()
            return 200, {"links": [n for n, at in self._links.items() if needle in at.seen]}
        for name in body["links"]:
            self._apply(path, self._links[name], body)
        return 200, {}

    def _apply(self, path: str, link: Link, body: dict) -> None:
        source = body.get("source", ANY)
        if path == "/silence":
            link.silence(source)
            return
        rule = Rule(
            mode=Mode(body.get("mode", "pass")),
            delay_s=body.get("delay_s", 0.0),
            keep_bytes=body.get("keep_bytes", 0),
        )
        link.set(source, rule)


def main(ip: str, port: int) -> None:
    """Run the proxy until it is stopped."""
    loop = asyncio.new_event_loop()
    server = Server(app=Control(loop=loop), port=port, ip=ip)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    loop.run_forever()


if __name__ == "__main__":
    fire.Fire(main)
