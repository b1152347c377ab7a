"""A fake database group member over SQLite, with a replicated log, terms and a promotion API.

Statements run on a limited number of slots and connections. A replica pulls the log from its
primary and applies each entry after a configurable lag.
"""

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

MAX_PULL_WAIT_S = 0.15  # how long a primary without new entries delays its reply to a pull
MAX_PULL_ENTRIES = 500
PULL_TIMEOUT_S = 1.0
PULL_RETRY_S = 0.05
READ_MODES = ("read", "primary_read")

Reply = tuple[int, dict[str, Any]] | None


class StatementRefused(Exception):
    """Raised when a statement was not executed; `reply` tells the caller why."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(reason)
        self.reply = (409, {"error": reason, "detail": detail})


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """A committed transaction in the log; the fields are the JSON fields of the log API.

    `time` is in seconds since the epoch; `work` is a list of SQL texts with their arguments.
    """

    term: int
    index: int
    time: float
    work: list[list[Any]]


def _term(entry: LogEntry) -> int:
    return entry.term


@dataclass(kw_only=True)
class ConnectionState:
    """The state of one connection to the member.

    `db` was opened for `generation` of the database file; `executed_statements` are those that the
    open transaction has executed; `term` is the term in which the transaction began. `refused` is
    set if all connections were in use when it was opened.
    """

    db: sqlite3.Connection | None = None
    generation: int = -1
    executed_statements: list[list[Any]] = field(default_factory=list)
    in_transaction: bool = False
    term: int = 0
    refused: bool = False


class Member:
    """A group member: its log, term and database, its statement API and its control operations.

    `connect_ms` is the time to open a connection, `lag_s` the delay before a replica applies an
    entry, `statement_delay_s` (`work_s` in the control API) an extra delay of each call that runs
    statements. `generation` counts the database files: a replica that has to undo applied entries
    starts an empty file and applies its log again.
    """

    def __init__(
        self, *, name: str, ip: str, slots: int, connections: int, connect_ms: float
    ) -> None:
        self.name = name
        self.max_connections = connections
        self.connect_s = connect_ms / 1000
        self.lag_s = 0.0
        self.statement_delay_s = 0.0
        self.slots = threading.Semaphore(slots)
        self.open_connections = 0
        self.peak_connections = 0
        self.pending_calls = 0
        self.served = 0
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.term = 0
        self.fenced_by = ""
        self.role = "replica"
        self.source = ""
        self.source_time = 0.0
        self.term_start = (0, 0)
        self.log: list[LogEntry] = []
        self.applied = 0
        self.generation = 0
        self.folder = tempfile.mkdtemp(prefix=f"member-{name}-")
        self.apply_connection = self._open_database()
        self.http = urllib3.PoolManager(retries=False, source_address=(ip, 0))
        threading.Thread(target=self._pull_forever, daemon=True).start()
        threading.Thread(target=self._apply_forever, daemon=True).start()

    # Statement API. Each connection has a ConnectionState.

    def connected(self) -> ConnectionState:
        """Count a new connection; its calls are refused if all connections are in use."""
        with self.lock:
            if self.open_connections >= self.max_connections:
                return ConnectionState(refused=True)
            self.open_connections += 1
            self.peak_connections = max(self.peak_connections, self.open_connections)
        time.sleep(self.connect_s)
        return ConnectionState()

    def disconnected(self, connection: ConnectionState) -> None:
        """Roll back the connection's open transaction and release the connection."""
        if connection.refused:
            return
        self._rollback(connection)
        if connection.db is not None:
            connection.db.close()
        with self.lock:
            self.open_connections -= 1

    def handle(
        self, connection: ConnectionState, method: str, path: str, query: dict, body: dict
    ) -> Reply:
        """Run a statement call and return its status and body."""
        if connection.refused:
            return 503, {"error": "too_many_connections", "detail": ""}
        self.pending_calls += 1
        self.served += 1
        self.slots.acquire()
        try:
            return 200, self._handle_call(connection, path, body)
        except StatementRefused as exc:
            return exc.reply
        except (sqlite3.Error, sqlite3.Warning, ValueError, OverflowError, TypeError) as exc:
            self._rollback(connection)
            return 409, {"error": "sql_error", "detail": str(exc)}
        finally:
            self.pending_calls -= 1
            self.slots.release()

    def _handle_call(self, connection: ConnectionState, path: str, body: dict) -> dict:
        if path == "/rollback":
            self._rollback(connection)
            return self._result(connection, [])
        self._check_preconditions(body)
        if path == "/begin":
            return self._begin(connection, body)
        if path == "/commit":
            return self._commit(connection, body["term"], [])
        if path == "/run":
            return self._run_statements(connection, body)
        raise StatementRefused("not_found", path)

    def _check_preconditions(self, body: dict) -> None:
        with self.lock:
            if body["term"] != self.term:
                raise StatementRefused("stale_term", f"member is at term {self.term}")
            if body.get("mode") != "read" and self.role != "primary":
                raise StatementRefused("not_primary")
            after = body.get("after") or {"index": 0, "term": 0}
            if not self._has_applied(after["term"], after["index"]):
                raise StatementRefused("behind", f"applied {self.applied}")

    def _has_applied(self, term: int, index: int) -> bool:
        if index == 0:
            return True
        if index > self.applied:
            return False
        return self.log[index - 1].term == term

    def _begin(self, connection: ConnectionState, body: dict) -> dict:
        self._rollback(connection)
        db = self._database(connection)
        self._lock_for_write(db)
        connection.in_transaction = True
        connection.term = body["term"]
        return self._result(connection, [])

    def _run_statements(self, connection: ConnectionState, body: dict) -> dict:
        if self.statement_delay_s:
            time.sleep(self.statement_delay_s)
        db = self._database(connection)
        if body.get("in_transaction"):
            if not connection.in_transaction or connection.term != body["term"]:
                raise StatementRefused("no_transaction")
            return self._result(
                connection, [self._execute(db, connection, s) for s in body["statements"]]
            )
        if body["mode"] in READ_MODES:
            return self._read(connection, db, body["statements"])
        self._lock_for_write(db)
        connection.in_transaction = True
        try:
            rows = [self._execute(db, connection, s) for s in body["statements"]]
        except sqlite3.Error as exc:
            failed_index = len(connection.executed_statements)
            self._rollback(connection)
            raise StatementRefused("sql_error", f"statement {failed_index}: {exc}") from exc
        return self._commit(connection, body["term"], rows)

    def _read(self, connection: ConnectionState, db: sqlite3.Connection, statements: list) -> dict:
        db.execute("PRAGMA query_only=1")
        try:
            return self._result(connection, [self._execute(db, connection, s) for s in statements])
        finally:
            db.execute("PRAGMA query_only=0")
            connection.executed_statements.clear()

    def _execute(
        self, db: sqlite3.Connection, connection: ConnectionState, statement: dict
    ) -> dict:
        args = statement.get("args") or []
        cursor = db.execute(statement["sql"], args)
        rows = cursor.fetchall()
        connection.executed_statements.append([statement["sql"], args])
        columns = [c[0] for c in cursor.description or []]
        count = len(rows) if columns else cursor.rowcount
        return {"columns": columns, "rows": rows, "count": count}

    def _lock_for_write(self, db: sqlite3.Connection) -> None:
        try:
            db.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError as exc:
            raise StatementRefused("lock_busy", str(exc)) from exc

    def _commit(self, connection: ConnectionState, term: int, rows: list) -> dict:
        if not connection.in_transaction:
            raise StatementRefused("no_transaction")
        with self.lock:
            if self.term != term or self.role != "primary":
                self._rollback(connection)
                raise StatementRefused("stale_term", f"member is at term {self.term}")
            connection.db.execute("COMMIT")
            connection.in_transaction = False
            if connection.executed_statements:
                self._append(connection.executed_statements)
            connection.executed_statements = []
        return self._result(connection, rows)

    def _append(self, statements: list) -> None:
        index = len(self.log) + 1
        self.log.append(LogEntry(term=self.term, index=index, time=time.time(), work=statements))
        self.applied = index
        self.changed.notify_all()

    def _rollback(self, connection: ConnectionState) -> None:
        if connection.db is not None and connection.db.in_transaction:
            connection.db.execute("ROLLBACK")
        connection.in_transaction = False
        connection.executed_statements = []

    def _result(self, connection: ConnectionState, rows: list) -> dict:
        with self.lock:
            last = self.log[self.applied - 1] if self.applied else None
            position = {"term": last.term if last else 0, "index": self.applied}
            return {"term": self.term, "position": position, "results": rows}

    def _database(self, connection: ConnectionState) -> sqlite3.Connection:
        with self.lock:
            if connection.generation != self.generation:
                if connection.db is not None:
                    connection.db.close()
                connection.db = self._open_database()
                connection.generation = self.generation
            return connection.db

    def _open_database(self) -> sqlite3.Connection:
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
                term_ends = self._term_ends()
            if role == "primary" or not source:
                time.sleep(PULL_RETRY_S)
                continue
            try:
                self._pull(source, term, term_ends)
            except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError):
                time.sleep(PULL_RETRY_S)

    def _term_ends(self) -> list[list[int]]:
        term_ends: list[list[int]] = []
        length = len(self.log)
        while length:
            term = self.log[length - 1].term
            term_ends.append([term, length])
            length = bisect_left(self.log, term, hi=length, key=_term)
        return term_ends

    def _pull(self, source: str, term: int, term_ends: list) -> None:
        url = f"http://{source}/log"
        timeout = urllib3.Timeout(total=PULL_TIMEOUT_S)
        reply = self.http.request(
            "POST", url, json={"term": term, "runs": term_ends}, timeout=timeout
        )
        if reply.status != 200:
            time.sleep(PULL_RETRY_S)
            return
        value = reply.json()
        with self.lock:
            if self.term != term or value["term"] != term or self.role == "primary":
                return
            self.source_time = time.monotonic()
            self.term_start = tuple(value["start"])
            self._truncate(value["common"])
            for fields in value["entries"]:
                self.log.append(LogEntry(**fields))
            self.changed.notify_all()

    def _truncate(self, length: int) -> None:
        if length >= len(self.log):
            return
        del self.log[length:]
        if self.applied > length:
            self._reset_database()

    def _reset_database(self) -> None:
        self.generation += 1
        self.applied = 0
        self.apply_connection.close()
        self.apply_connection = self._open_database()

    def _apply_forever(self) -> None:
        while True:
            with self.changed:
                self.changed.wait_for(self._can_apply, timeout=0.01)
                while self._can_apply():
                    self._apply(self.log[self.applied])

    def _can_apply(self) -> bool:
        if self.role == "primary" or self.applied >= len(self.log):
            return False
        entry = self.log[self.applied]
        return entry.time + self.lag_s <= time.time()

    def _apply(self, entry: LogEntry) -> None:
        try:
            self.apply_connection.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError:
            return
        for sql, args in entry.work:
            self.apply_connection.execute(sql, args)
        self.apply_connection.execute("COMMIT")
        self.applied = entry.index
        self.changed.notify_all()

    # Control operations.

    def progress(self) -> dict:
        """Return the member's term, role, log positions and number of pending calls."""
        received = self.log[-1] if self.log else None
        applied = self.log[self.applied - 1] if self.applied else None
        source_age = 0.0 if self.role == "primary" else time.monotonic() - self.source_time
        return {
            "name": self.name,
            "term": self.term,
            "role": self.role,
            "received": {"term": received.term if received else 0, "index": len(self.log)},
            "applied": {"term": applied.term if applied else 0, "index": self.applied},
            "start": {"term": self.term_start[0], "index": self.term_start[1]},
            "source_age": round(source_age, 3),
            "queue": self.pending_calls,
        }

    def fence(self, term: int, claimant: str) -> Reply:
        """Become a replica in a higher term, as the claimant asks before it promotes a member.

        Reply 409 if the term is not higher, unless the same claimant repeats its call.
        """
        with self.lock:
            is_repeated = (
                term == self.term and claimant == self.fenced_by and self.role == "replica"
            )
            if term <= self.term and not is_repeated:
                return 409, self.progress()
            self.term = term
            self.fenced_by = claimant
            self.role = "replica"
            self.source = ""
            return 200, self.progress()

    def promote(self, term: int, claimant: str) -> Reply:
        """Become primary in a term that `fence` accepted from the same claimant.

        Apply all received entries first; reply 409 for any other term or claimant.
        """
        with self.lock:
            if term != self.term or claimant != self.fenced_by:
                return 409, self.progress()
            if self.role != "primary":
                while self.applied < len(self.log):
                    self._apply(self.log[self.applied])
                self.role = "primary"
                self._append([])
                self.term_start = (term, self.applied)
            return 200, self.progress()

    def follow(self, term: int, source: str) -> Reply:
        """Replicate from the primary of a term; reply 409 for a term that has passed."""
        with self.lock:
            if term < self.term or (term == self.term and self.role == "primary"):
                return 409, self.progress()
            self.term = term
            self.role = "replica"
            if self.source != source:
                self.source = source
                self.source_time = time.monotonic()
            return 200, self.progress()

    def entries(self, term: int, term_ends: list) -> Reply:
        """Return the entries that a replica lacks, after the last entry in common.

        Wait for up to `MAX_PULL_WAIT_S` if there is none.
        """
        with self.changed:
            if term != self.term or self.role != "primary":
                return 409, self.progress()
            common = self._common_length(term_ends)
            replica_length = term_ends[0][1] if term_ends else 0
            if common == replica_length == len(self.log):
                self.changed.wait_for(
                    lambda: len(self.log) > replica_length, timeout=MAX_PULL_WAIT_S
                )
            entries = [vars(e) for e in self.log[common : common + MAX_PULL_ENTRIES]]
            value = {
                "term": self.term,
                "start": self.term_start,
                "common": common,
                "entries": entries,
            }
            return 200, value

    def _common_length(self, term_ends: list) -> int:
        for term, index in term_ends:
            end = min(index, bisect_right(self.log, term, key=_term))
            if end and self.log[end - 1].term == term:
                return end
        return 0

    def wait_progress(self, received: int, applied: int, wait_s: float) -> Reply:
        """Return the progress once the received or applied index grows, or after `wait_s`."""
        with self.changed:
            if wait_s:
                self.changed.wait_for(
                    lambda: len(self.log) > received or self.applied > applied, timeout=wait_s
                )
            return 200, self.progress()


class ControlApi:
    """Serve the control API of a member on a port of its own."""

    def __init__(self, *, member: Member) -> None:
        self.member = member

    def connected(self) -> None:
        """Accept a connection; the API keeps no state for it."""

    def disconnected(self, connection: None) -> None:
        """Ignore a closed connection."""

    def handle(self, connection: None, method: str, path: str, query: dict, body: dict) -> Reply:
        """Run a control call and return its status and body."""
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
            member.statement_delay_s = body.get("work_s", member.statement_delay_s)
            return 200, {"peak": member.peak_connections, "served": member.served}
        if path == "/dump":
            return 200, {"entries": [vars(e) for e in member.log], "peak": member.peak_connections}
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
    """Serve a member until the process is stopped."""
    member = Member(name=name, ip=ip, slots=slots, connections=connections, connect_ms=connect_ms)
    control = Server(app=ControlApi(member=member), port=control_port, ip=ip)
    threading.Thread(target=control.serve_forever, daemon=True).start()
    Server(app=member, port=port, ip=ip).serve_forever()


if __name__ == "__main__":
    fire.Fire(main)
