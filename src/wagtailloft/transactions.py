"""Open transactions of one group: each holds one connection until commit or rollback."""

import random
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft import logs, requests_table
from wagtailloft.adapters.members import MemberLink, MemberRejected, MemberRequest, MemberResponse
from wagtailloft.controllers.retries import pause
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member import MemberEndpoint
from wagtailloft.models import Answer, Position, Rows, Statement
from wagtailloft.statement_executor import CallState, StatementExecutor


@dataclass(kw_only=True)
class _Open:
    id: str
    team: str
    route: str
    key_digest: str
    term: int
    endpoint: MemberEndpoint
    link: MemberLink
    idle_limit: float
    ends: float
    used: float
    busy: threading.Lock = field(default_factory=threading.Lock)
    ended: bool = False


Action = Callable[[CallState, _Open], Result[Answer, Refusal]]


class Transactions:
    """Begin, run, commit and roll back transactions on the primary of one group."""

    def __init__(
        self,
        *,
        host: str,
        monitor: GroupMonitor,
        endpoints: dict[str, MemberEndpoint],
        statement_executor: StatementExecutor,
        decisions: Decisions,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._monitor = monitor
        self._endpoints = endpoints
        self._statement_executor = statement_executor
        self._decisions = decisions
        self._rng = rng
        self._lock = threading.Lock()
        self._open: dict[str, _Open] = {}

    @property
    def count(self) -> int:
        """Return how many transactions are open."""
        return len(self._open)

    def begin(self, state: CallState) -> Result[Answer, Refusal]:
        """Open a transaction on the primary."""
        while True:
            chosen = self._statement_executor.wait_for_primary(state)
            if isinstance(chosen, Err):
                return chosen
            try:
                return self._begin_on(state, chosen.ok_value.member)
            except (MemberRejected, NotSent, NoResponse) as exc:
                wait = pause(state.retries, self._rng)
                state.retries += 1
                if time.monotonic() + wait >= state.deadline:
                    return Err(Refusal(kind=Kind.LOCK_BUSY, detail=str(exc)))
                time.sleep(wait)

    def run(self, state: CallState) -> Result[Answer, Refusal]:
        """Run a statement of an open transaction."""
        return self._with(state, self._run)

    def commit(self, state: CallState) -> Result[Answer, Refusal]:
        """Commit, and answer once a majority has it."""
        if state.call.transaction not in self._open:
            return self._commit_of_unknown(state)
        committed = self._with(state, self._commit)
        if committed.is_ok() or committed.err_value.kind is not Kind.OUTCOME_UNKNOWN:
            return committed
        found = self._statement_executor.resolve_outcome(state, committed.err_value)
        if found.is_err() and found.err_value.kind is Kind.STALE_TERM:
            return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail=found.err_value.detail))
        return found

    def rollback(self, state: CallState) -> Result[Answer, Refusal]:
        """Roll back an open transaction."""
        return self._with(state, self._rollback)

    def sweep(self, now: float) -> None:
        """Roll back transactions that idle too long, run too long, or lost their primary."""
        term = self._monitor.view().term
        for tx in list(self._open.values()):
            if now > tx.ends:
                self._end(tx, "it ran over its time limit")
            elif now - tx.used > tx.idle_limit and not tx.busy.locked():
                self._end(tx, "it was idle too long")
            elif tx.term < term:
                self._end(tx, "its primary was replaced")

    def revoke_key(self, key_digest: str) -> None:
        """Roll back the transactions of a withdrawn key."""
        for tx in list(self._open.values()):
            if tx.key_digest == key_digest:
                self._end(tx, "its key was withdrawn")

    def close(self) -> None:
        """Roll back all that is open."""
        for tx in list(self._open.values()):
            self._end(tx, "the owner is stopping")

    def _begin_on(self, state: CallState, member: str) -> Result[Answer, Refusal]:
        endpoint = self._endpoints[member]
        if len(self._open) >= self._limit(endpoint):
            raise NotSent("all connections for transactions are in use")
        with endpoint.gate.slot(state.slot_request()) as admitted:
            if isinstance(admitted, Err):
                return admitted
            tx = self._open_on(state, endpoint)
        return Ok(self._answer(state, tx, Rows(), Position()))

    def _open_on(self, state: CallState, endpoint: MemberEndpoint) -> _Open:
        """Begin on a connection and remember it, while the caller holds a slot."""
        call = state.call
        link = endpoint.pool.acquire(state.remaining())
        term = self._monitor.view().term
        begun = False
        try:
            link.call("begin", MemberRequest(term=term, mode="write"), state.remaining())
            begun = True
        finally:
            if not begun:
                endpoint.pool.release(link, link.usable)
        now = time.monotonic()
        tx = _Open(
            id=f"{self._host}.{uuid.uuid4().hex}",
            team=call.team,
            route=call.route,
            key_digest=call.key_digest,
            term=term,
            endpoint=endpoint,
            link=link,
            idle_limit=state.options.transaction_idle,
            ends=now + state.options.transaction_limit,
            used=now,
        )
        with self._lock:
            self._open[tx.id] = tx
        return tx

    def _limit(self, endpoint: MemberEndpoint) -> int:
        return max(1, endpoint.pool.limit - endpoint.slots)

    def _with(self, state: CallState, action: Action) -> Result[Answer, Refusal]:
        call = state.call
        tx = self._open.get(call.transaction)
        if tx is None or tx.team != call.team or tx.route != call.route:
            return Err(Refusal(kind=Kind.UNKNOWN_TRANSACTION))
        if not tx.busy.acquire(timeout=state.remaining()):
            return Err(Refusal(kind=Kind.DEADLINE, detail="its last statement still runs"))
        try:
            if tx.ended:
                return Err(Refusal(kind=Kind.TRANSACTION_LOST))
            tx.used = time.monotonic()
            return action(state, tx)
        finally:
            tx.used = time.monotonic()
            tx.busy.release()

    def _run(self, state: CallState, tx: _Open) -> Result[Answer, Refusal]:
        ran = self._call(state, tx, "run", (state.call.statement,))
        if isinstance(ran, Err):
            return ran
        return Ok(self._answer(state, tx, ran.ok_value.results[0], Position()))

    def _commit(self, state: CallState, tx: _Open) -> Result[Answer, Refusal]:
        if state.options.request_table:
            entered = self._enter(state, tx)
            if isinstance(entered, Err):
                return entered
        state.sent_term = tx.term
        committed = self._call(state, tx, "commit", ())
        self._remove(tx, isinstance(committed, Ok))
        if isinstance(committed, Err):
            return committed
        position = committed.ok_value.position
        acknowledged = self._statement_executor.wait_for_majority(state, position)
        return acknowledged.map(lambda p: self._answer(state, tx, Rows(), p))

    def _enter(self, state: CallState, tx: _Open) -> Result[MemberResponse, Refusal]:
        key = requests_table.request_key(state.call.team, state.call.request_id)
        entry = requests_table.insert_request(key)
        entered = self._call(state, tx, "run", (requests_table.CREATE_TABLE, entry))
        if isinstance(entered, Ok):
            return entered
        refusal = entered.err_value
        if requests_table.DUPLICATE_ERROR in refusal.detail:
            detail = "a request of this id has run before"
            return Err(Refusal(kind=Kind.CONFLICT, detail=detail))
        if refusal.kind is Kind.OUTCOME_UNKNOWN:
            return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail="the commit was not sent"))
        return entered

    def _rollback(self, state: CallState, tx: _Open) -> Result[Answer, Refusal]:
        self._end(tx, "the caller rolled it back")
        return Ok(self._answer(state, tx, Rows(), Position()))

    def _call(
        self, state: CallState, tx: _Open, action: str, statements: tuple[Statement, ...]
    ) -> Result[MemberResponse, Refusal]:
        request = MemberRequest(
            term=tx.term, mode="write", statements=statements, in_transaction=True
        )
        with tx.endpoint.gate.slot(state.slot_request()) as admitted:
            if isinstance(admitted, Err):
                return admitted
            if not self._statement_executor.key_still_valid(state):
                self._end(tx, "its key was withdrawn")
                return Err(Refusal(kind=Kind.KEY_UNKNOWN, detail="the key was withdrawn"))
            try:
                return Ok(tx.link.call(action, request, state.remaining()))
            except MemberRejected as exc:
                return Err(self._refused(tx, exc))
            except NotSent as exc:
                self._end(tx, "its connection closed")
                return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail=str(exc)))
            except NoResponse as exc:
                self._end(tx, "its connection went silent")
                lost = Kind.OUTCOME_UNKNOWN if action == "commit" else Kind.TRANSACTION_LOST
                return Err(Refusal(kind=lost, detail=str(exc)))

    def _refused(self, tx: _Open, exc: MemberRejected) -> Refusal:
        self._end(tx, f"the member refused: {exc.reason}")
        if exc.reason == "sql_error":
            return Refusal(kind=Kind.SQL_ERROR, detail=f"{exc.detail}; rolled back")
        return Refusal(kind=Kind.TRANSACTION_LOST, detail=exc.reason)

    def _commit_of_unknown(self, state: CallState) -> Result[Answer, Refusal]:
        refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="this host knows no such transaction")
        return self._statement_executor.resolve_outcome(state, refusal)

    def _end(self, tx: _Open, why: str) -> None:
        tx.ended = True
        if self._remove(tx, clean=False):
            self._decisions.add(tx.id, "rolled back", why)
            logs.event("transaction_ended", id=tx.id, team=tx.team, why=why)

    def _remove(self, tx: _Open, clean: bool) -> bool:
        with self._lock:
            if self._open.pop(tx.id, None) is None:
                return False
        tx.ended = True
        tx.endpoint.pool.release(tx.link, clean)
        return True

    def _answer(self, state: CallState, tx: _Open, rows: Rows, position: Position) -> Answer:
        return Answer(
            request_id=state.call.request_id,
            rows=rows,
            position=position,
            served_by=tx.endpoint.member.name,
            role="primary",
            transaction=tx.id,
        )
