"""Open transactions of one group; each keeps one link until it is committed or rolled back."""

import random
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft import logs, requests_table
from wagtailloft.adapters.members import MemberLink, MemberRejected, MemberRequest, MemberResponse
from wagtailloft.controllers.retries import retry_delay
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member_endpoint import MemberEndpoint
from wagtailloft.models import Answer, Position, Rows, SqlStatement
from wagtailloft.statement_executor import CallState, StatementExecutor


@dataclass(kw_only=True)
class _OpenTransaction:
    id: str
    team: str
    route: str
    key_digest: str
    term: int
    endpoint: MemberEndpoint
    link: MemberLink
    idle_limit: float
    ends_at: float
    last_used: float
    statement_lock: threading.Lock = field(default_factory=threading.Lock)
    ended: bool = False


_STOPPING = Refusal(kind=Kind.STOPPING, detail="the host is stopping")

Operation = Callable[[CallState, _OpenTransaction], Result[Answer, Refusal]]


class Transactions:
    """Begins, runs, commits and rolls back transactions on the primary of one group."""

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
        self._transactions: dict[str, _OpenTransaction] = {}
        self._is_stopping = False

    @property
    def count(self) -> int:
        """Return the number of open transactions."""
        return len(self._transactions)

    def begin(self, state: CallState) -> Result[Answer, Refusal]:
        """Begin a transaction on the primary, with retries until the deadline."""
        while True:
            if self._is_stopping:
                return Err(_STOPPING)
            chosen = self._statement_executor.wait_for_primary(state)
            if isinstance(chosen, Err):
                return chosen
            try:
                return self._begin_on(state, chosen.ok_value.member)
            except (MemberRejected, NotSent, NoResponse) as exc:
                wait = retry_delay(state.retries, self._rng)
                state.retries += 1
                if time.monotonic() + wait >= state.deadline:
                    return Err(Refusal(kind=Kind.LOCK_BUSY, detail=str(exc)))
                time.sleep(wait)

    def run(self, state: CallState) -> Result[Answer, Refusal]:
        """Execute a statement of an open transaction."""
        return self._with_transaction(state, self._run)

    def commit(self, state: CallState) -> Result[Answer, Refusal]:
        """Commit, and return once a majority of the members has received the commit.

        If the outcome is unknown, or the transaction is not open at this host, look it up in the
        request table.
        """
        if state.call.transaction not in self._transactions:
            return self._resolve_unknown_commit(state)
        committed = self._with_transaction(state, self._commit)
        if committed.is_ok() or committed.err_value.kind is not Kind.OUTCOME_UNKNOWN:
            return committed
        found = self._statement_executor.resolve_outcome(state, committed.err_value)
        if found.is_err() and found.err_value.kind is Kind.STALE_TERM:
            return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail=found.err_value.detail))
        return found

    def rollback(self, state: CallState) -> Result[Answer, Refusal]:
        """Roll back an open transaction."""
        return self._with_transaction(state, self._rollback)

    def roll_back_expired(self, now: float) -> None:
        """Roll back transactions past a time limit, and those whose primary was replaced."""
        term = self._monitor.view().term
        for tx in list(self._transactions.values()):
            if now > tx.ends_at:
                self._abort(tx, "the transaction exceeded its time limit")
            elif now - tx.last_used > tx.idle_limit and not tx.statement_lock.locked():
                self._abort(tx, "the transaction was idle for too long")
            elif tx.term < term:
                self._abort(tx, "the primary was replaced")

    def withdraw_key(self, key_digest: str) -> None:
        """Roll back the transactions of a withdrawn key."""
        for tx in list(self._transactions.values()):
            if tx.key_digest == key_digest:
                self._abort(tx, "the key was withdrawn")

    def stop(self) -> None:
        """Begin none any more, and roll back each once its running statement has ended."""
        self._is_stopping = True
        for tx in list(self._transactions.values()):
            if not tx.statement_lock.locked():
                self._abort(tx, _STOPPING.detail)

    def close(self) -> None:
        """Roll back all open transactions."""
        for tx in list(self._transactions.values()):
            self._abort(tx, "the group was closed at this host")

    def _begin_on(self, state: CallState, member: str) -> Result[Answer, Refusal]:
        endpoint = self._endpoints[member]
        if len(self._transactions) >= self._max_open(endpoint):
            raise NotSent("no link is free for another transaction")
        with endpoint.gate.slot(state.slot_request()) as admitted:
            if isinstance(admitted, Err):
                return admitted
            tx = self._open_transaction(state, endpoint)
        if self._is_stopping:
            self._abort(tx, _STOPPING.detail)
            return Err(_STOPPING)
        return Ok(self._build_answer(state, tx, Rows(), Position()))

    def _open_transaction(self, state: CallState, endpoint: MemberEndpoint) -> _OpenTransaction:
        """Begin a transaction on a link of its own; the caller of this method holds the slot."""
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
        tx = _OpenTransaction(
            id=f"{self._host}.{uuid.uuid4().hex}",
            team=call.team,
            route=call.route,
            key_digest=call.key_digest,
            term=term,
            endpoint=endpoint,
            link=link,
            idle_limit=state.options.transaction_idle,
            ends_at=now + state.options.transaction_limit,
            last_used=now,
        )
        with self._lock:
            self._transactions[tx.id] = tx
        return tx

    def _max_open(self, endpoint: MemberEndpoint) -> int:
        """Return how many transactions may be open, leaving a link per slot to statements."""
        return max(1, endpoint.pool.limit - endpoint.slots)

    def _with_transaction(self, state: CallState, operation: Operation) -> Result[Answer, Refusal]:
        call = state.call
        tx = self._transactions.get(call.transaction)
        if tx is None or tx.team != call.team or tx.route != call.route:
            return Err(Refusal(kind=Kind.UNKNOWN_TRANSACTION))
        if not tx.statement_lock.acquire(timeout=state.remaining()):
            return Err(
                Refusal(kind=Kind.DEADLINE, detail="the previous statement is still running")
            )
        try:
            if tx.ended:
                return Err(Refusal(kind=Kind.TRANSACTION_LOST))
            tx.last_used = time.monotonic()
            return operation(state, tx)
        finally:
            tx.last_used = time.monotonic()
            tx.statement_lock.release()
            # After the release: stop() passes over a transaction whose lock is held.
            if self._is_stopping:
                self._abort(tx, _STOPPING.detail)

    def _run(self, state: CallState, tx: _OpenTransaction) -> Result[Answer, Refusal]:
        result = self._call_member(state, tx, "run", (state.call.statement,))
        if isinstance(result, Err):
            return result
        return Ok(self._build_answer(state, tx, result.ok_value.results[0], Position()))

    def _commit(self, state: CallState, tx: _OpenTransaction) -> Result[Answer, Refusal]:
        if state.options.request_table:
            recorded = self._record_request(state, tx)
            if isinstance(recorded, Err):
                return recorded
        state.sent_term = tx.term
        committed = self._call_member(state, tx, "commit", ())
        was_open = self._release(tx, isinstance(committed, Ok))
        if isinstance(committed, Err):
            return _unsent_commit(committed.err_value) if was_open else committed
        position = committed.ok_value.position
        acknowledged = self._statement_executor.wait_for_majority(state, position)
        return acknowledged.map(lambda p: self._build_answer(state, tx, Rows(), p))

    def _record_request(
        self, state: CallState, tx: _OpenTransaction
    ) -> Result[MemberResponse, Refusal]:
        key = requests_table.request_key(state.call.team, state.call.request_id)
        insert = requests_table.insert_request(key)
        recorded = self._call_member(state, tx, "run", (requests_table.CREATE_TABLE, insert))
        if isinstance(recorded, Ok):
            return recorded
        refusal = recorded.err_value
        if requests_table.DUPLICATE_ERROR in refusal.detail:
            detail = "a request with this id has already been executed"
            return Err(Refusal(kind=Kind.CONFLICT, detail=detail))
        if refusal.kind is Kind.OUTCOME_UNKNOWN:
            return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail="the commit was not sent"))
        return recorded

    def _rollback(self, state: CallState, tx: _OpenTransaction) -> Result[Answer, Refusal]:
        self._abort(tx, "the caller rolled back")
        return Ok(self._build_answer(state, tx, Rows(), Position()))

    def _call_member(
        self,
        state: CallState,
        tx: _OpenTransaction,
        action: str,
        statements: tuple[SqlStatement, ...],
    ) -> Result[MemberResponse, Refusal]:
        request = MemberRequest(
            term=tx.term, mode="write", statements=statements, in_transaction=True
        )
        with tx.endpoint.gate.slot(state.slot_request()) as admitted:
            if isinstance(admitted, Err):
                return admitted
            if not self._statement_executor.key_still_valid(state):
                self._abort(tx, "the key was withdrawn")
                return Err(Refusal(kind=Kind.KEY_UNKNOWN, detail="the key was withdrawn"))
            try:
                return Ok(tx.link.call(action, request, state.remaining()))
            except MemberRejected as exc:
                return Err(self._abort_rejected(tx, exc))
            except NotSent as exc:
                self._abort(tx, "the link to the member was closed")
                return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail=str(exc)))
            except NoResponse as exc:
                self._abort(tx, "the member did not respond")
                lost = Kind.OUTCOME_UNKNOWN if action == "commit" else Kind.TRANSACTION_LOST
                return Err(Refusal(kind=lost, detail=str(exc)))

    def _abort_rejected(self, tx: _OpenTransaction, exc: MemberRejected) -> Refusal:
        self._abort(tx, f"the member rejected a request: {exc.reason}")
        if exc.reason == "sql_error":
            return Refusal(kind=Kind.SQL_ERROR, detail=f"{exc.detail}; rolled back")
        return Refusal(kind=Kind.TRANSACTION_LOST, detail=exc.reason)

    def _resolve_unknown_commit(self, state: CallState) -> Result[Answer, Refusal]:
        refusal = Refusal(
            kind=Kind.OUTCOME_UNKNOWN, detail="the transaction is not open at this host"
        )
        return self._statement_executor.resolve_outcome(state, refusal)

    def _abort(self, tx: _OpenTransaction, why: str) -> None:
        tx.ended = True
        if self._release(tx, reusable=False):
            self._decisions.add(tx.id, "rolled back", why)
            logs.event("transaction_ended", id=tx.id, team=tx.team, why=why)

    def _release(self, tx: _OpenTransaction, reusable: bool) -> bool:
        with self._lock:
            if self._transactions.pop(tx.id, None) is None:
                return False
        tx.ended = True
        tx.endpoint.pool.release(tx.link, reusable)
        return True

    def _build_answer(
        self, state: CallState, tx: _OpenTransaction, rows: Rows, position: Position
    ) -> Answer:
        return Answer(
            request_id=state.call.request_id,
            rows=rows,
            position=position,
            served_by=tx.endpoint.member.name,
            role="primary",
            transaction=tx.id,
        )


def _unsent_commit(refusal: Refusal) -> Err[Refusal]:
    """Return the refusal of a commit that got no slot; closing its link rolled it back."""
    detail = f"the commit was not sent: {refusal.kind.value}"
    return Err(Refusal(kind=Kind.TRANSACTION_LOST, detail=detail))
