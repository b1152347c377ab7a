"""A fake database group that speaks the line protocol, with log replication and promotion."""

import socketserver
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import BinaryIO

MAX_LINE_BYTES = (1 << 20) + 2  # with the line end
STATEMENT_TIME_S = 0.002


@dataclass(frozen=True, kw_only=True)
class ExecutedStatement:
    """Describe a statement that a member executed.

    `connection` identifies the connection that carried it. `committed` is set for a write outside
    a transaction and for a COMMIT, not for the writes inside the transaction. `at` is the
    monotonic time at which it was done.
    """

    member: str
    team: str
    connection: int
    request_id: str
    text: str
    session_variables: tuple[tuple[str, str], ...]
    committed: bool
    at: float = field(default_factory=time.monotonic)


@dataclass(kw_only=True)
class FakeMember:
    """A member of a fake group.

    Each log entry holds the primary's term and the written values by item. A replica accepts no
    log from a primary whose term is below `paused_at_term`.

    Tests inject faults by setting `lag_s` (replication delay), `unresponsive` (requests wait and
    nothing is replicated), `replies_to_drop` (that many statements run without a reply) and
    `max_connections`. `rows_per_read` is how often a read returns its row.
    """

    name: str
    group: "FakeGroup"
    role: str = "replica"
    term: int = 1
    log: list[tuple[int, dict[str, str]]] = field(default_factory=list)
    paused_at_term: int = 0
    lag_s: float = 0.01
    unresponsive: bool = False
    replies_to_drop: int = 0
    max_connections: int = 16
    rows_per_read: int = 1
    connections: set[int] = field(default_factory=set)

    @property
    def position(self) -> str:
        """Return the position of the last log entry, as TERM.LENGTH."""
        return f"{self.log[-1][0] if self.log else self.term}.{len(self.log)}"

    def values_by_item(self) -> dict[str, str]:
        """Return the value of each item after applying the whole log."""
        values: dict[str, str] = {}
        for _, writes in self.log:
            values.update(writes)
        return values

    def covers(self, position: str) -> bool:
        """Tell whether the log contains a position."""
        term, _, length = position.partition(".")
        last_term = self.log[-1][0] if self.log else self.term
        return len(self.log) >= int(length) and last_term >= int(term)


class FakeGroup:
    """A group of fake members with a record of every statement they executed."""

    def __init__(
        self, *, name: str, members: int = 3, promotion_time_s: float = 0.1, sync_replicas: int = 0
    ) -> None:
        self.name = name
        self.sync_replicas = sync_replicas
        self.lock = threading.RLock()
        self.executed: list[ExecutedStatement] = []
        self.promotion_time_s = promotion_time_s
        self.promotions: list[tuple[str, str, int]] = []
        self.on_role_change: Callable[[FakeMember], None] = lambda member: None
        self.members = {
            f"{name}-m{n}": FakeMember(name=f"{name}-m{n}", group=self) for n in range(members)
        }
        next(iter(self.members.values())).role = "primary"

    @property
    def primary(self) -> FakeMember:
        """Return the member that is primary in the highest term."""
        primaries = [m for m in self.members.values() if m.role == "primary"]
        return max(primaries, key=lambda m: m.term)

    def commit(self, member: FakeMember, writes: dict[str, str]) -> bool:
        """Append writes to a primary's log and replicate it; return False if not primary.

        Block until `sync_replicas` replicas have the entry. Unresponsive replicas receive nothing.
        """
        with self.lock:
            if member.role != "primary":
                return False
            member.log.append((member.term, writes))
            length = len(member.log)
            other_members = [m for m in self.members.values() if m is not member]
            for other in other_members:
                threading.Timer(other.lag_s, self._replicate, (other, member)).start()
        while sum(len(m.log) >= length for m in other_members) < self.sync_replicas:
            time.sleep(0.005)
        return True

    def promote(self, name: str) -> int:
        """Start a promotion that completes in the background; return the HTTP status to reply."""
        member = self.members.get(name)
        if member is None or member.unresponsive:
            return 409
        if member is not self.primary or member.role != "primary":
            threading.Timer(self.promotion_time_s, self._complete_promotion, (member,)).start()
        return 200

    def _replicate(self, member: FakeMember, source: FakeMember) -> None:
        with self.lock:
            source_is_stale = member.paused_at_term > source.term or member.term > source.term
            if member.role == "replica" and not member.unresponsive and not source_is_stale:
                member.log = list(source.log)
                member.term = source.term

    def _complete_promotion(self, member: FakeMember) -> None:
        with self.lock:
            if member.role == "primary" and member is self.primary:
                return
            member.term = max(m.term for m in self.members.values()) + 1
            member.role = "primary"
            member.paused_at_term = 0
        self.on_role_change(member)


class MemberServer(socketserver.ThreadingTCPServer):
    """Serve a member's line protocol on a TCP port."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128
    block_on_close = False

    def __init__(self, *, member: FakeMember, ip: str, port: int) -> None:
        self.member = member
        super().__init__((ip, port), _ConnectionHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of connections that the client closed."""


def read_line(stream: BinaryIO) -> str | None:
    """Read a line that ends in CR LF; return None at the end of the stream or if it is too long."""
    line = b""
    while part := stream.readline(MAX_LINE_BYTES - len(line)):
        line += part
        if line.endswith(b"\r\n"):
            return line[:-2].decode("latin-1")
    return None


class _ConnectionHandler(socketserver.StreamRequestHandler):
    """Serve the statements of one connection."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """Serve requests until the client disconnects."""
        member = self.server.member
        if len(member.connections) >= member.max_connections:
            return
        member.connections.add(id(self))
        self.team, self.session_variables, self.prepared = "", {}, {}
        self.uncommitted: dict[str, str] | None = None
        try:
            while (line := read_line(self.rfile)) is not None:
                while member.unresponsive:
                    time.sleep(0.01)
                if not self._handle_line(member, line):
                    return
        except ConnectionError:
            return
        finally:
            member.connections.discard(id(self))

    def _handle_line(self, member: FakeMember, line: str) -> bool:
        command, _, rest = line.partition(" ")
        if command == "STARTUP":
            group, team, *name = rest.split(" ")
            if group != member.group.name or (name and name[0] != member.name):
                self.wfile.write(f"ERR WRONGNODE {member.name}\r\n".encode())
                return False
            self.team = team
            self._send_reply([], member)
            return True
        if command != "QUERY":
            return False
        request_id, _, text = rest.partition(" ")
        reply = self._handle_query(member, request_id, text)
        # Only responses of statements are dropped, not those of control commands.
        if member.replies_to_drop and request_id != "-" and reply[0].startswith(("DONE 7", "ROW")):
            member.replies_to_drop -= 1
            return True
        self._send_reply(reply, member)
        return True

    def _send_reply(self, lines: list[str], member: FakeMember) -> None:
        state = "I" if self.uncommitted is None else "T"
        lines = [*lines, f"READY {state} {member.position}"]
        self.wfile.write(("\r\n".join(lines) + "\r\n").encode("latin-1"))

    def _handle_query(self, member: FakeMember, request_id: str, text: str) -> list[str]:
        command, _, rest = text.partition(" ")
        if command == "WAITPOS":
            position, _, text = rest.partition(" ")
            if not member.covers(position):
                return [f"ERR LAGGING {member.name}"]
            command, _, rest = text.partition(" ")
        # Session and control commands run at once and are not recorded in `executed`.
        commands_without_delay = {"SET", "RESET", "PREPARE", "STATUS", "PAUSE", "RESUME", "DEMOTE"}
        if command in commands_without_delay:
            return self._run_control_command(member, command, rest)
        time.sleep(STATEMENT_TIME_S)
        return self._run_statement(member, request_id, text)

    def _run_control_command(self, member: FakeMember, command: str, rest: str) -> list[str]:
        argument, _, value = rest.partition(" ")
        if command == "SET":
            self.session_variables[argument] = value
            return ["DONE -"]
        if command == "PREPARE":
            self.prepared[argument] = value
            return ["DONE -"]
        if command == "RESET":
            self.session_variables, self.prepared = {}, {}
            return ["DONE -"]
        with member.group.lock:
            if command == "PAUSE":
                member.paused_at_term = int(argument)
            elif command == "RESUME":
                member.paused_at_term = 0
            elif command == "DEMOTE" and int(argument) > member.term:
                member.role, member.term = "replica", int(argument)
                member.log = list(member.group.primary.log)
        if command == "DEMOTE":
            member.group.on_role_change(member)
        in_use = len(member.connections)
        row = f"{member.role} {member.term} {member.position} {member.paused_at_term} 0 0 {in_use}"
        return [f"ROW {row}", "DONE -"]

    def _run_statement(self, member: FakeMember, request_id: str, text: str) -> list[str]:
        command, _, rest = text.partition(" ")
        is_write = command == "WRITE"
        if command == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return [f"ERR NOSTMT {name}"]
            is_write = self.prepared[name].startswith("WRITE")
        needs_primary = text == "BEGIN" or is_write
        if needs_primary and member.role != "primary":
            return [f"ERR READONLY {member.name}"]
        item, _, value = rest.partition(" ")
        if command == "BEGIN":
            self.uncommitted = {}
        elif command == "ROLLBACK":
            self.uncommitted = None
        elif command == "COMMIT":
            pending, self.uncommitted = self.uncommitted or {}, None
            if pending and not member.group.commit(member, pending):
                return [f"ERR READONLY {member.name}"]
        elif is_write and self.uncommitted is not None:
            self.uncommitted[item] = value
        elif is_write:
            member.group.commit(member, {item: value})
        self._record_statement(
            member, request_id, text, command == "COMMIT" or (is_write and self.uncommitted is None)
        )
        rows = (
            []
            if command in ("BEGIN", "COMMIT", "ROLLBACK") or is_write
            else [self._read_item(item)] * member.rows_per_read
        )
        return [*[f"ROW {row}" for row in rows], f"DONE 7.{member.name}.{request_id}"]

    def _read_item(self, item: str) -> str:
        return {**self.server.member.values_by_item(), **(self.uncommitted or {})}.get(item, "none")

    def _record_statement(
        self, member: FakeMember, request_id: str, text: str, committed: bool
    ) -> None:
        with member.group.lock:
            member.group.executed.append(
                ExecutedStatement(
                    member=member.name,
                    team=self.team,
                    connection=id(self),
                    request_id=request_id,
                    text=text,
                    session_variables=tuple(sorted(self.session_variables.items())),
                    committed=committed,
                )
            )
