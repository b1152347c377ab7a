"""A caller's session: one connection with values, prepared statements and a transaction."""

import asyncio

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.records import Freshness, RouteRule
from wagtailloft.groups.dispatch import Dispatcher, OpenTransaction, StatementContext
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.models import Position
from wagtailloft.sessions.admission import Admission, AdmittedOperation
from wagtailloft.sessions.statements import (
    OK_NOT_SENT,
    PreparedStatement,
    Statement,
    StatementResult,
    TransactionState,
    Verb,
    not_executed,
)

OWN_ID = "-"
ENDS = (Verb.COMMIT, Verb.ROLLBACK)
BEGINS = (Verb.BEGIN, Verb.BEGIN_READ)
ROLLBACK = Statement(verb=Verb.ROLLBACK, text="ROLLBACK")
_BACKGROUND: set[asyncio.Task] = set()


class _Open:
    """Hold a transaction of the session; opening it goes on in the background."""

    def __init__(self, *, admitted: AdmittedOperation, opening: asyncio.Task) -> None:
        self.admitted = admitted
        self.opening = opening
        self.opened: OpenTransaction | None = None
        self.touched = now()
        self.wrote = False


class Session:
    """Answer the statements of one caller, one after the other."""

    def __init__(
        self, *, name: str, database: str, key: str, admission: Admission, dispatcher: Dispatcher
    ) -> None:
        self.name = name
        self.busy = False
        self._database = database
        self._key = admission.digest(key)
        self._admission = admission
        self._dispatcher = dispatcher
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._seen: dict[str, Position] = {}
        self._open: _Open | None = None
        self._failed = False

    @property
    def state(self) -> TransactionState:
        """Return whether the session is in a transaction."""
        if self._failed:
            return TransactionState.FAILED
        return TransactionState.OPEN if self._open else TransactionState.IDLE

    async def handle(self, request_id: str, statement: Statement) -> StatementResult:
        """Run one statement and return what the caller is told."""
        self.busy = True
        began = now()
        try:
            outcome = await self._handle(request_id, statement)
        finally:
            self.busy = False
        outcome = msgspec.structs.replace(outcome, state=self.state)
        self._admission.record_result(self._database, outcome, now() - began)
        if not outcome.ok:
            logs.warn(
                "refused" if not outcome.sent else "failed",
                request=request_id,
                session=self.name,
                verb=statement.verb.value,
                kind=outcome.kind.value,
                detail=outcome.detail,
                age=round(self._admission.age(), 3),
                ms=round((now() - began) * 1000, 1),
            )
        return outcome

    def check(self) -> StatementResult:
        """Tell whether the session may be opened."""
        return self._admission.check(self._database, self._key, new_session=True)

    async def expire_idle_transaction(self) -> None:
        """Roll back a transaction that has rested for too long."""
        if self._open is None or self.busy or self._failed:
            return
        if now() - self._open.touched > self._admission.transaction_idle():
            logs.warn("transaction_expired", session=self.name, rested=now() - self._open.touched)
            await self._abandon()
            self._failed = True

    async def close(self) -> None:
        """End the session; an open transaction rolls back."""
        await self._abandon()

    async def abort_transaction(self) -> None:
        """Fail an open transaction since the host stops."""
        if self._open is not None and not self.busy:
            logs.warn("transaction_stopped", session=self.name)
            await self._fail()

    async def _handle(self, request_id: str, statement: Statement) -> StatementResult:
        if self._failed:
            return self._after_failure(statement)
        if statement.verb is Verb.SET:
            self._values[statement.name] = statement.argument
            return OK_NOT_SENT
        if statement.verb is Verb.PREPARE:
            self._prepared[statement.name] = statement.prepared
            return OK_NOT_SENT
        if statement.verb is Verb.DEALLOCATE:
            if self._prepared.pop(statement.name, None) is None:
                return not_executed(Kind.UNKNOWN_STATEMENT, statement.name)
            return OK_NOT_SENT
        if statement.verb is Verb.EXECUTE:
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                await self._fail()
                return not_executed(Kind.UNKNOWN_STATEMENT, statement.name)
            # The link writes the text anew, under its own name of the shape.
            statement = msgspec.structs.replace(statement, prepared=prepared, text="")
        if self._open:
            return await self._inside(request_id, statement)
        if statement.verb in ENDS:
            return not_executed(Kind.BAD_REQUEST, "no transaction is open")
        return await self._outside(request_id, statement)

    def _after_failure(self, statement: Statement) -> StatementResult:
        if statement.verb not in ENDS:
            return not_executed(Kind.BAD_REQUEST, "the transaction failed; end it first")
        self._failed = False
        if statement.verb is Verb.ROLLBACK:
            return OK_NOT_SENT
        return not_executed(Kind.TRANSACTION_LOST, "the transaction had failed")

    async def _outside(self, request_id: str, statement: Statement) -> StatementResult:
        admitted = await self._admission.admit(self._database, self._key, request_id)
        if isinstance(admitted, StatementResult):
            return admitted
        if statement.verb in BEGINS:
            return self._begin(admitted, statement)
        outcome = await self._dispatcher.run_single(
            self._context(admitted), self._bind(request_id, statement)
        )
        if outcome.ok and statement.writes:
            self._note(admitted.rule, outcome)
        return outcome

    def _begin(self, admitted: AdmittedOperation, statement: Statement) -> StatementResult:
        """Answer at once; the link is found while the caller's next statement is on its way."""
        bound = self._bind(OWN_ID, statement)
        opening = asyncio.get_running_loop().create_task(
            self._dispatcher.begin(self._context(admitted), bound)
        )
        self._open = _Open(admitted=admitted, opening=opening)
        return OK_NOT_SENT

    async def _inside(self, request_id: str, statement: Statement) -> StatementResult:
        transaction = self._open
        transaction.touched = now()
        if statement.verb in BEGINS:
            await self._fail()
            return not_executed(Kind.BAD_REQUEST, "a transaction is open already")
        if statement.verb is Verb.ROLLBACK:
            await self._abandon()
            return OK_NOT_SENT
        refusal = self._admission.check(self._database, self._key)
        if not refusal.ok:
            return await self._lose(statement, refusal)
        if transaction.opened is None:
            outcome, transaction.opened = await transaction.opening
            if transaction.opened is None:
                why = f"it could not be opened: {outcome.detail or outcome.kind.value}"
                return await self._lose(statement, not_executed(Kind.TRANSACTION_LOST, why))
        outcome = await self._dispatcher.run(
            transaction.opened,
            self._context(transaction.admitted),
            self._bind(request_id, statement),
        )
        transaction.touched = now()
        transaction.wrote = transaction.wrote or statement.writes
        return await self._settle(statement, outcome)

    async def _settle(self, statement: Statement, outcome: StatementResult) -> StatementResult:
        """Note how the transaction goes on after a statement's outcome."""
        rule = self._open.admitted.rule
        if statement.verb is Verb.COMMIT:
            if outcome.ok and self._open.wrote:
                self._note(rule, outcome)
            if not outcome.ok:
                await self._abandon()
            self._open = None
            return outcome
        if outcome.ok and outcome.state is TransactionState.OPEN:
            return outcome
        if outcome.kind in (Kind.TARGET_FAILED, Kind.TARGET_TIMEOUT):
            return await self._lose(statement, outcome)
        why = outcome.detail or (outcome.kind.value if outcome.kind else "it ended by itself")
        return await self._lose(statement, StatementResult(kind=Kind.TRANSACTION_LOST, detail=why))

    async def _lose(self, statement: Statement, outcome: StatementResult) -> StatementResult:
        await self._fail()
        if statement.verb is Verb.COMMIT:
            self._failed = False
        return outcome

    async def _fail(self) -> None:
        if self._open is None:
            return
        await self._abandon()
        self._failed = True

    async def _abandon(self) -> None:
        transaction, self._open = self._open, None
        if transaction is None:
            return
        task = asyncio.get_running_loop().create_task(self._roll_back(transaction))
        _BACKGROUND.add(task)
        task.add_done_callback(_BACKGROUND.discard)

    async def _roll_back(self, transaction: _Open) -> None:
        if transaction.opened is None:
            _, transaction.opened = await transaction.opening
        if transaction.opened is None:
            return
        bound = self._bind(OWN_ID, ROLLBACK)
        outcome = await self._dispatcher.run(
            transaction.opened, self._context(transaction.admitted), bound
        )
        if not outcome.ok:
            await self._dispatcher.rollback(transaction.opened)

    def _context(self, admitted: AdmittedOperation) -> StatementContext:
        seen = None
        if admitted.rule.freshness is Freshness.SESSION:
            seen = self._seen.get(admitted.rule.group)
        return StatementContext(rule=admitted.rule, team=admitted.team, session_position=seen)

    def _bind(self, request_id: str, statement: Statement) -> BoundStatement:
        return BoundStatement(request_id=request_id, statement=statement, values=dict(self._values))

    def _note(self, rule: RouteRule, outcome: StatementResult) -> None:
        if outcome.position:
            known = self._seen.get(rule.group)
            self._seen[rule.group] = max(known, outcome.position) if known else outcome.position
