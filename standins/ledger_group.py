"""A database group on the site's line protocol: members, replication by log, and promotion."""

import socketserver
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

MESSAGE_LIMIT = 1 << 20
WORK_S = 0.002


@dataclass(frozen=True, kw_only=True)
class Run:
    """Hold one statement that a member ran."""

    member: str
    team: str
    link: int
    request: str
    text: str
    values: tuple[tuple[str, str], ...]
    committed: bool


@dataclass(kw_only=True)
class Member:
    """Hold one member's state; faults are attributes that tests set."""

    name: str
    group: "Group"
    role: str = "replica"
    term: int = 1
    log: list[tuple[int, dict[str, str]]] = field(default_factory=list)
    held: int = 0
    lag_s: float = 0.01
    dark: bool = False
    lose_answers: int = 0
    limit: int = 16
    links: set[int] = field(default_factory=set)

    @property
    def position(self) -> str:
        """Return the position of the last entry."""
        return f"{self.log[-1][0] if self.log else self.term}.{len(self.log)}"

    def items(self) -> dict[str, str]:
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


class Group:
    """Hold the members of one group and everything that they ran."""

    def __init__(
        self, *, name: str, members: int = 3, promote_s: float = 0.1, sync_replicas: int = 0
    ) -> None:
        self.name = name
        self.sync_replicas = sync_replicas
        self.lock = threading.RLock()
        self.runs: list[Run] = []
        self.promote_s = promote_s
        self.promotions: list[tuple[str, str, int]] = []
        self.on_role: Callable[[Member], None] = lambda member: None
        self.members = {
            f"{name}-m{n}": Member(name=f"{name}-m{n}", group=self) for n in range(members)
        }
        next(iter(self.members.values())).role = "primary"

    @property
    def primary(self) -> Member:
        """Return the member that leads the highest term."""
        leading = [m for m in self.members.values() if m.role == "primary"]
        return max(leading, key=lambda m: m.term)

    def commit(self, member: Member, writes: dict[str, str]) -> bool:
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
                threading.Timer(other.lag_s, self._follow, (other, member)).start()
        while sum(len(m.log) >= number for m in others) < self.sync_replicas:
            time.sleep(0.005)
        return True

    def promote(self, name: str) -> int:
        """Begin a promotion; return the status of the answer."""
        member = self.members.get(name)
        if member is None or member.dark:
            return 409
        if member is not self.primary or member.role != "primary":
            threading.Timer(self.promote_s, self._lead, (member,)).start()
        return 200

    def _follow(self, member: Member, source: Member) -> None:
        with self.lock:
            stopped = member.held > source.term or member.term > source.term
            if member.role == "replica" and not member.dark and not stopped:
                member.log = list(source.log)
                member.term = source.term

    def _lead(self, member: Member) -> None:
        with self.lock:
            if member.role == "primary" and member is self.primary:
                return
            member.term = max(m.term for m in self.members.values()) + 1
            member.role = "primary"
            member.held = 0
        self.on_role(member)


class MemberServer(socketserver.ThreadingTCPServer):
    """Serve one member on a port."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128
    block_on_close = False

    def __init__(self, *, member: Member, ip: str, port: int) -> None:
        self.member = member
        super().__init__((ip, port), _Connection)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        """Ignore callers that went away."""


class _Connection(socketserver.StreamRequestHandler):
    """Answer the statements of one connection."""

    disable_nagle_algorithm = True

    def handle(self) -> None:
        """Serve until the caller leaves."""
        member = self.server.member
        if len(member.links) >= member.limit:
            return
        member.links.add(id(self))
        self.team, self.values, self.shapes = "", {}, {}
        self.writes: dict[str, str] | None = None
        try:
            while line := self.rfile.readline(MESSAGE_LIMIT):
                while member.dark:
                    time.sleep(0.01)
                if not self._line(member, line.decode("latin-1").rstrip("\r\n")):
                    return
        except ConnectionError:
            return
        finally:
            member.links.discard(id(self))

    def _line(self, member: Member, line: str) -> bool:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            group, team, *name = rest.split(" ")
            if group != member.group.name or (name and name[0] != member.name):
                self.wfile.write(f"ERR WRONGNODE {member.name}\r\n".encode())
                return False
            self.team = team
            self._say([], member)
            return True
        if word != "QUERY":
            return False
        request, _, text = rest.partition(" ")
        answer = self._query(member, request, text)
        if member.lose_answers and request != "-" and answer[0].startswith(("DONE 7", "ROW")):
            member.lose_answers -= 1
            return True
        self._say(answer, member)
        return True

    def _say(self, lines: list[str], member: Member) -> None:
        state = "I" if self.writes is None else "T"
        lines = [*lines, f"READY {state} {member.position}"]
        self.wfile.write(("\r\n".join(lines) + "\r\n").encode("latin-1"))

    def _query(self, member: Member, request: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        if word == "WAITPOS":
            position, _, text = rest.partition(" ")
            if not member.covers(position):
                return [f"ERR LAGGING {member.name}"]
            word, _, rest = text.partition(" ")
        system = {"SET", "RESET", "PREPARE", "STATUS", "PAUSE", "RESUME", "DEMOTE"}
        if word in system:
            return self._order(member, word, rest)
        time.sleep(WORK_S)
        return self._statement(member, request, text)

    def _order(self, member: Member, word: str, rest: str) -> list[str]:
        first, _, more = rest.partition(" ")
        if word == "SET":
            self.values[first] = more
            return ["DONE -"]
        if word == "PREPARE":
            self.shapes[first] = more
            return ["DONE -"]
        if word == "RESET":
            self.values, self.shapes = {}, {}
            return ["DONE -"]
        with member.group.lock:
            if word == "PAUSE":
                member.held = int(first)
            elif word == "RESUME":
                member.held = 0
            elif word == "DEMOTE" and int(first) > member.term:
                member.role, member.term = "replica", int(first)
                member.log = list(member.group.primary.log)
        if word == "DEMOTE":
            member.group.on_role(member)
        links = len(member.links)
        row = f"{member.role} {member.term} {member.position} {member.held} 0 0 {links}"
        return [f"ROW {row}", "DONE -"]

    def _statement(self, member: Member, request: str, text: str) -> list[str]:
        word, _, rest = text.partition(" ")
        writes = word == "WRITE"
        if word == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.shapes:
                return [f"ERR NOSTMT {name}"]
            writes = self.shapes[name].startswith("WRITE")
        plain = text == "BEGIN" or writes
        if plain and member.role != "primary":
            return [f"ERR READONLY {member.name}"]
        item, _, data = rest.partition(" ")
        if word == "BEGIN":
            self.writes = {}
        elif word == "ROLLBACK":
            self.writes = None
        elif word == "COMMIT":
            done, self.writes = self.writes or {}, None
            if done and not member.group.commit(member, done):
                return [f"ERR READONLY {member.name}"]
        elif writes and self.writes is not None:
            self.writes[item] = data
        elif writes:
            member.group.commit(member, {item: data})
        self._note(member, request, text, word == "COMMIT" or (writes and self.writes is None))
        rows = [] if word in ("BEGIN", "COMMIT", "ROLLBACK") or writes else [self._read(item)]
        return [*[f"ROW {row}" for row in rows], f"DONE 7.{member.name}.{request}"]

    def _read(self, item: str) -> str:
        return {**self.server.member.items(), **(self.writes or {})}.get(item, "none")

    def _note(self, member: Member, request: str, text: str, committed: bool) -> None:
        with member.group.lock:
            member.group.runs.append(
                Run(
                    member=member.name,
                    team=self.team,
                    link=id(self),
                    request=request,
                    text=text,
                    values=tuple(sorted(self.values.items())),
                    committed=committed,
                )
            )
