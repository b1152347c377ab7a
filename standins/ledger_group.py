"""A database group on the site's line protocol: members, replication by log, and promotion."""

import socketserver
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_LINE_BYTES = 1 << 20
STATEMENT_TIME_S = 0.002


@dataclass(frozen=True, kw_only=True)
class ExecutedStatement:
    """Hold one statement that a member ran."""

    member: str
    team: str
    connection: int
    request_id: str
    text: str
    session_variables: tuple[tuple[str, str], ...]
    committed: bool


@dataclass(kw_only=True)
class FakeMember:
    """Hold one member's state; faults are attributes that tests set."""

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
    connections: set[int] = field(default_factory=set)

    @property
    def position(self) -> str:
        """Return the position of the last entry."""
        return f"{self.log[-1][0] if self.log else self.term}.{len(self.log)}"

    def values_by_item(self) -> dict[str, str]:
        """Return the data that the log makes."""
        data: dict[str, str] = {}
        for _, writes in self.log:
            data.update(writes)
        return data

    def covers(self, position: str) -> bool:
        """Tell whether the log holds a position."""
        term, _, number = position.partition(".")
        last = self.log[-1][0] if self.log else self.term
        return len(self.log) >= int(number) and last >= int(term)


class FakeGroup:
    """Hold the members of one group and everything that they ran."""

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
        """Return the member that leads the highest term."""
        leading = [m for m in self.members.values() if m.role == "primary"]
        return max(leading, key=lambda m: m.term)

    def commit(self, member: FakeMember, writes: dict[str, str]) -> bool:
        """Append to a primary's log and send it to the replicas; return False at a replica.

        Wait for as many replicas as commits have to; one that is dark receives nothing.
        """
        with self.lock:
            if member.role != "primary":
                return False
            member.log.append((member.term, writes))
            number = len(member.log)
            others = [m for m in self.members.values() if m is not member]
            for other in others:
                threading.Timer(other.lag_s, self._replicate, (other, member)).start()
        while sum(len(m.log) >= number for m in others) < self.sync_replicas:
            time.sleep(0.005)
        return True

    def promote(self, name: str) -> int:
        """Begin a promotion; return the status of the answer."""
        member = self.members.get(name)
        if member is None or member.unresponsive:
            return 409
        if member is not self.primary or member.role != "primary":
            threading.Timer(self.promotion_time_s, self._complete_promotion, (member,)).start()
        return 200

    def _replicate(self, member: FakeMember, source: FakeMember) -> None:
        with self.lock:
            stopped = member.paused_at_term > source.term or member.term > source.term
            if member.role == "replica" and not member.unresponsive and not stopped:
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
    """Serve one member on a port."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128
    block_on_close = False

    def __init__(self, *, member: FakeMember, ip: str, port: int) -> None:
        self.member = member
        super().__init__((ip, port), _ConnectionHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        """Ignore callers that went away."""


class _ConnectionHandler(socketserver.StreamRequestHandler):
    """Answer the statements of one connection."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """Serve until the caller leaves."""
        member = self.server.member
        if len(member.connections) >= member.max_connections:
            return
        member.connections.add(id(self))
        self.team, self.session_variables, self.prepared = "", {}, {}
        self.uncommitted: dict[str, str] | None = None
        try:
            while line := self.rfile.readline(MAX_LINE_BYTES):
                while member.unresponsive:
                    time.sleep(0.01)
                if not self._handle_line(member, line.decode("latin-1").rstrip("\r\n")):
                    return
        except ConnectionError:
            return
        finally:
            member.connections.discard(id(self))

    def _handle_line(self, member: FakeMember, line: str) -> bool:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            group, team, *name = rest.split(" ")
            if group != member.group.name or (name and name[0] != member.name):
                self.wfile.write(f"ERR WRONGNODE {member.name}\r\n".encode())
                return False
            self.team = team
            self._send_reply([], member)
            return True
        if word != "QUERY":
            return False
        request_id, _, text = rest.partition(" ")
        answer = self._handle_query(member, request_id, text)
        if member.replies_to_drop and request_id != "-" and answer[0].startswith(("DONE 7", "ROW")):
            member.replies_to_drop -= 1
            return True
        self._send_reply(answer, member)
        return True

    def _send_reply(self, lines: list[str], member: FakeMember) -> None:
        state = "I" if self.uncommitted is None else "T"
        lines = [*lines, f"READY {state} {member.position}"]
        self.wfile.write(("\r\n".join(lines) + "\r\n").encode("latin-1"))

    def _handle_query(self, member: FakeMember, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "WAITPOS":
            position, _, text = rest.partition(" ")
            if not member.covers(position):
                return [f"ERR LAGGING {member.name}"]
            word, _, rest = text.partition(" ")
        system = {"SET", "RESET", "PREPARE", "STATUS", "PAUSE", "RESUME", "DEMOTE"}
        if word in system:
            return self._admin_command(member, word, rest)
        time.sleep(STATEMENT_TIME_S)
        return self._run_statement(member, request_id, text)

    def _admin_command(self, member: FakeMember, word: str, rest: str) -> list[str]:
        first, _, more = rest.partition(" ")
        if word == "SET":
            self.session_variables[first] = more
            return ["DONE -"]
        if word == "PREPARE":
            self.prepared[first] = more
            return ["DONE -"]
        if word == "RESET":
            self.session_variables, self.prepared = {}, {}
            return ["DONE -"]
        with member.group.lock:
            if word == "PAUSE":
                member.paused_at_term = int(first)
            elif word == "RESUME":
                member.paused_at_term = 0
            elif word == "DEMOTE" and int(first) > member.term:
                member.role, member.term = "replica", int(first)
                member.log = list(member.group.primary.log)
        if word == "DEMOTE":
            member.group.on_role_change(member)
        in_use = len(member.connections)
        row = f"{member.role} {member.term} {member.position} {member.paused_at_term} 0 0 {in_use}"
        return [f"ROW {row}", "DONE -"]

    def _run_statement(self, member: FakeMember, request_id: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        writes = word == "WRITE"
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return [f"ERR NOSTMT {name}"]
            writes = self.prepared[name].startswith("WRITE")
        plain = text == "BEGIN" or writes
        if plain and member.role != "primary":
            return [f"ERR READONLY {member.name}"]
        item, _, data = rest.partition(" ")
        if word == "BEGIN":
            self.uncommitted = {}
        elif word == "ROLLBACK":
            self.uncommitted = None
        elif word == "COMMIT":
            done, self.uncommitted = self.uncommitted or {}, None
            if done and not member.group.commit(member, done):
                return [f"ERR READONLY {member.name}"]
        elif writes and self.uncommitted is not None:
            self.uncommitted[item] = data
        elif writes:
            member.group.commit(member, {item: data})
        self._record(
            member, request_id, text, word == "COMMIT" or (writes and self.uncommitted is None)
        )
        rows = [] if word in ("BEGIN", "COMMIT", "ROLLBACK") or writes else [self._read_item(item)]
        return [*[f"ROW {row}" for row in rows], f"DONE 7.{member.name}.{request_id}"]

    def _read_item(self, item: str) -> str:
        return {**self.server.member.values_by_item(), **(self.uncommitted or {})}.get(item, "none")

    def _record(self, member: FakeMember, request_id: str, text: str, committed: bool) -> None:
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
