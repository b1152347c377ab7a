"""A database group member: SQLite, a term, a replicated log with lag, slots and connections."""

import os
import sqlite3
import tempfile
import threading
import time
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import Any

import fire
import urllib3

from standins.web import Server

PULL_WAIT_S = 0.15
PULL_BATCH = 500
PULL_TIMEOUT_S = 1.0
RETRY_S = 0.05
READ_MODES = ("read", "primary_read")

Reply = tuple[int, dict[str, Any]] | None


class Refused(Exception):
    """Raised when a statement was not run, with the reason."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(reason)
        self.reply = (409, {"error": reason, "detail": detail})


@dataclass(frozen=True, kw_only=True)
class Entry:
    """Hold one committed transaction of the log."""

    term: int
    index: int
    time: float
    work: list[list[Any]]


def _term(entry: Entry) -> int:
    return entry.term


@dataclass(kw_only=True)
class Link:
    """Hold the state of one caller's connection."""

    db: sqlite3.Connection | None = None
    generation: int = -1
    work: list[list[Any]] = field(default_factory=list)
    open: bool = False
    term: int = 0
    refused: bool = False


class Member:
    """Hold a member's log, term and database, and answer statements and control calls."""

    def __init__(
        self, *, name: str, ip: str, slots: int, connections: int, connect_ms: float
    ) -> None:
        self.name = name
        self.connections = connections
        self.connect_s = connect_ms / 1000
        self.lag_s = 0.0
        self.work_s = 0.0
        self.slots = threading.Semaphore(slots)
        self.used = 0
        self.peak = 0
        self.waiting = 0
        self.served = 0
        self.lock = threading.RLock()
        self.moved = threading.Condition(self.lock)
        self.term = 0
        self.voted = ""
        self.role = "replica"
        self.source = ""
        self.source_time = 0.0
        self.start = (0, 0)
        self.log: list[Entry] = []
        self.applied = 0
        self.generation = 0
        self.folder = tempfile.mkdtemp(prefix=f"member-{name}-")
        self.applier = self._open()
        self.http = urllib3.PoolManager(retries=False, source_address=(ip, 0))
        threading.Thread(target=self._pull_forever, daemon=True).start()
        threading.Thread(target=self._apply_forever, daemon=True).start()

    # Statements, one app a connection.

    def connected(self) -> Link:
        """Open a connection, unless all are in use."""
        with self.lock:
            if self.used >= self.connections:
                return Link(refused=True)
            self.used += 1
            self.peak = max(self.peak, self.used)
        time.sleep(self.connect_s)
        return Link()

    def disconnected(self, link: Link) -> None:
        """Roll back what the connection left open."""
        if link.refused:
            return
        self._end(link)
        if link.db is not None:
            link.db.close()
        with self.lock:
            self.used -= 1

    def handle(self, link: Link, method: str, path: str, query: dict, body: dict) -> Reply:
        """Answer one statement call."""
        if link.refused:
            return 503, {"error": "too_many_connections", "detail": ""}
        self.waiting += 1
        self.served += 1
        self.slots.acquire()
        try:
            return 200, self._work(link, path, body)
        except Refused as exc:
            return exc.reply
        except (sqlite3.Error, sqlite3.Warning, ValueError, OverflowError, TypeError) as exc:
            self._end(link)
            return 409, {"error": "sql_error", "detail": str(exc)}
        finally:
            self.waiting -= 1
            self.slots.release()

    def _work(self, link: Link, path: str, body: dict) -> dict:
        if path == "/rollback":
            self._end(link)
            return self._result(link, [])
        self._check(body)
        if path == "/begin":
            return self._begin(link, body)
        if path == "/commit":
            return self._commit(link, body["term"], [])
        if path == "/run":
            return self._run(link, body)
        raise Refused("not_found", path)

    def _check(self, body: dict) -> None:
        with self.lock:
            if body["term"] != self.term:
                raise Refused("stale_term", f"member is at term {self.term}")
            if body.get("mode") != "read" and self.role != "primary":
                raise Refused("not_primary")
            after = body.get("after") or {"index": 0, "term": 0}
            if not self._has(after["term"], after["index"]):
                raise Refused("behind", f"applied {self.applied}")

    def _has(self, term: int, index: int) -> bool:
        if index == 0:
            return True
        if index > self.applied:
            return False
        return self.log[index - 1].term == term

    def _begin(self, link: Link, body: dict) -> dict:
        self._end(link)
        db = self._db(link)
        self._lock_for_write(db)
        link.open = True
        link.term = body["term"]
        return self._result(link, [])

    def _run(self, link: Link, body: dict) -> dict:
        if self.work_s:
            time.sleep(self.work_s)
        db = self._db(link)
        if body.get("in_transaction"):
            if not link.open or link.term != body["term"]:
                raise Refused("no_transaction")
            return self._result(link, [self._execute(db, link, s) for s in body["statements"]])
        if body["mode"] in READ_MODES:
            return self._read(link, db, body["statements"])
        self._lock_for_write(db)
        link.open = True
        try:
            rows = [self._execute(db, link, s) for s in body["statements"]]
        except sqlite3.Error as exc:
            failed = len(link.work)
            self._end(link)
            raise Refused("sql_error", f"statement {failed}: {exc}") from exc
        return self._commit(link, body["term"], rows)

    def _read(self, link: Link, db: sqlite3.Connection, statements: list) -> dict:
        db.execute("PRAGMA query_only=1")
        try:
            return self._result(link, [self._execute(db, link, s) for s in statements])
        finally:
            db.execute("PRAGMA query_only=0")
            link.work.clear()

    def _execute(self, db: sqlite3.Connection, link: Link, statement: dict) -> dict:
        args = statement.get("args") or []
        cursor = db.execute(statement["sql"], args)
        rows = cursor.fetchall()
        link.work.append([statement["sql"], args])
        columns = [c[0] for c in cursor.description or []]
        count = len(rows) if columns else cursor.rowcount
        return {"columns": columns, "rows": rows, "count": count}

    def _lock_for_write(self, db: sqlite3.Connection) -> None:
        try:
            db.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError as exc:
            raise Refused("lock_busy", str(exc)) from exc

    def _commit(self, link: Link, term: int, rows: list) -> dict:
        if not link.open:
            raise Refused("no_transaction")
        with self.lock:
            if self.term != term or self.role != "primary":
                self._end(link)
                raise Refused("stale_term", f"member is at term {self.term}")
            link.db.execute("COMMIT")
            link.open = False
            if link.work:
                self._append(link.work)
            link.work = []
        return self._result(link, rows)

    def _append(self, work: list) -> None:
        index = len(self.log) + 1
        self.log.append(Entry(term=self.term, index=index, time=time.time(), work=work))
        self.applied = index
        self.moved.notify_all()

    def _end(self, link: Link) -> None:
        if link.db is not None and link.db.in_transaction:
            link.db.execute("ROLLBACK")
        link.open = False
        link.work = []

    def _result(self, link: Link, rows: list) -> dict:
        with self.lock:
            last = self.log[self.applied - 1] if self.applied else None
            position = {"term": last.term if last else 0, "index": self.applied}
            return {"term": self.term, "position": position, "results": rows}

    def _db(self, link: Link) -> sqlite3.Connection:
        with self.lock:
            if link.generation != self.generation:
                if link.db is not None:
                    link.db.close()
                link.db = self._open()
                link.generation = self.generation
            return link.db

    def _open(self) -> sqlite3.Connection:
        path = os.path.join(self.folder, f"{self.generation}.db")
        db = sqlite3.connect(path, timeout=0, isolation_level=None, check_same_thread=False)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=OFF")
        return db

    # Replication.

    def _pull_forever(self) -> None:
        while True:
            with self.lock:
                source, term, role = self.source, self.term, self.role
                runs = self._runs()
            if role == "primary" or not source:
                time.sleep(RETRY_S)
                continue
            try:
                self._pull(source, term, runs)
            except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
                time.sleep(RETRY_S)

    def _runs(self) -> list[list[int]]:
        runs: list[list[int]] = []
        length = len(self.log)
        while length:
            term = self.log[length - 1].term
            runs.append([term, length])
            length = bisect_left(self.log, term, hi=length, key=_term)
        return runs

    def _pull(self, source: str, term: int, runs: list) -> None:
        url = f"http://{source}/log"
        timeout = urllib3.Timeout(total=PULL_TIMEOUT_S)
        reply = self.http.request("POST", url, json={"term": term, "runs": runs}, timeout=timeout)
        if reply.status != 200:
            time.sleep(RETRY_S)
            return
        value = reply.json()
        with self.lock:
            if self.term != term or value["term"] != term or self.role == "primary":
                return
            self.source_time = time.monotonic()
            self.start = tuple(value["start"])
            self._truncate(value["common"])
            for item in value["entries"]:
                self.log.append(Entry(**item))
            self.moved.notify_all()

    def _truncate(self, length: int) -> None:
        if length >= len(self.log):
            return
        del self.log[length:]
        if self.applied > length:
            self._rebuild()

    def _rebuild(self) -> None:
        self.generation += 1
        self.applied = 0
        self.applier.close()
        self.applier = self._open()

    def _apply_forever(self) -> None:
        while True:
            with self.moved:
                self.moved.wait_for(self._can_apply, timeout=0.01)
                while self._can_apply():
                    self._apply(self.log[self.applied])

    def _can_apply(self) -> bool:
        if self.role == "primary" or self.applied >= len(self.log):
            return False
        entry = self.log[self.applied]
        return entry.time + self.lag_s <= time.time()

    def _apply(self, entry: Entry) -> None:
        try:
            self.applier.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError:
            return
        for sql, args in entry.work:
            self.applier.execute(sql, args)
        self.applier.execute("COMMIT")
        self.applied = entry.index
        self.moved.notify_all()

    # Control calls.

    def progress(self) -> dict:
        """Report term, role and positions."""
        last = self.log[-1] if self.log else None
        applied = self.log[self.applied - 1] if self.applied else None
        age = 0.0 if self.role == "primary" else time.monotonic() - self.source_time
        return {
            "name": self.name,
            "term": self.term,
            "role": self.role,
            "received": {"term": last.term if last else 0, "index": len(self.log)},
            "applied": {"term": applied.term if applied else 0, "index": self.applied},
            "start": {"term": self.start[0], "index": self.start[1]},
            "source_age": round(age, 3),
            "queue": self.waiting,
        }

    def fence(self, term: int, claimant: str) -> Reply:
        """Take a higher term for one claimant; refuse any other."""
        with self.lock:
            again = term == self.term and claimant == self.voted and self.role == "replica"
            if term <= self.term and not again:
                return 409, self.progress()
            self.term = term
            self.voted = claimant
            self.role = "replica"
            self.source = ""
            return 200, self.progress()

    def promote(self, term: int, claimant: str) -> Reply:
        """Become the primary of a term that this member took for the claimant."""
        with self.lock:
            if term != self.term or claimant != self.voted:
                return 409, self.progress()
            if self.role != "primary":
                while self.applied < len(self.log):
                    self._apply(self.log[self.applied])
                self.role = "primary"
                self._append([])
                self.start = (term, self.applied)
            return 200, self.progress()

    def follow(self, term: int, source: str) -> Reply:
        """Replicate from the primary of a term."""
        with self.lock:
            if term < self.term or (term == self.term and self.role == "primary"):
                return 409, self.progress()
            self.term = term
            self.role = "replica"
            if self.source != source:
                self.source = source
                self.source_time = time.monotonic()
            return 200, self.progress()

    def entries(self, term: int, runs: list) -> Reply:
        """Return the entries that a replica lacks, after the last one both have."""
        with self.moved:
            if term != self.term or self.role != "primary":
                return 409, self.progress()
            common = self._common(runs)
            known = runs[0][1] if runs else 0
            if common == known == len(self.log):
                self.moved.wait_for(lambda: len(self.log) > known, timeout=PULL_WAIT_S)
            items = [vars(e) for e in self.log[common : common + PULL_BATCH]]
            value = {"term": self.term, "start": self.start, "common": common, "entries": items}
            return 200, value

    def _common(self, runs: list) -> int:
        for term, index in runs:
            end = min(index, bisect_right(self.log, term, key=_term))
            if end and self.log[end - 1].term == term:
                return end
        return 0

    def wait_progress(self, received: int, applied: int, wait_s: float) -> Reply:
        """Report progress once a position is past the given one, or after a wait."""
        with self.moved:
            if wait_s:
                self.moved.wait_for(
                    lambda: len(self.log) > received or self.applied > applied, timeout=wait_s
                )
            return 200, self.progress()


class Control:
    """Answer control calls on a port of their own."""

    def __init__(self, *, member: Member) -> None:
        self.member = member

    def connected(self) -> None:
        """Accept any connection."""

    def disconnected(self, connection: None) -> None:
        """Forget a connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Answer one control call."""
        member = self.member
        if path == "/progress":
            received = int(query.get("received", 0))
            applied = int(query.get("applied", 0))
            return member.wait_progress(received, applied, float(query.get("wait", 0)))
        if path == "/fence":
            return member.fence(body["term"], body["claimant"])
        if path == "/promote":
            return member.promote(body["term"], body["claimant"])
        if path == "/follow":
            return member.follow(body["term"], body["source"])
        if path == "/log":
            return member.entries(body["term"], body["runs"])
        if path == "/tune":
            member.lag_s = body.get("lag_s", member.lag_s)
            member.work_s = body.get("work_s", member.work_s)
            return 200, {"peak": member.peak, "served": member.served}
        if path == "/dump":
            return 200, {"entries": [vars(e) for e in member.log], "peak": member.peak}
        return 404, {"error": "not_found"}


def main(
    name: str,
    port: int,
    control_port: int,
    ip: str = "127.0.0.1",
    slots: int = 2,
    connections: int = 16,
    connect_ms: float = 12.0,
) -> None:
    """Run one member until it is stopped."""
    member = Member(name=name, ip=ip, slots=slots, connections=connections, connect_ms=connect_ms)
    control = Server(app=Control(member=member), port=control_port, ip=ip)
    threading.Thread(target=control.serve_forever, daemon=True).start()
    Server(app=member, port=port, ip=ip).serve_forever()


if __name__ == "__main__":
    fire.Fire(main)
