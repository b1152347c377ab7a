"""Session of one caller connection: variables, prepared statements and a transaction."""

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
    STOPPING,
    PreparedStatement,
    Statement,
    StatementResult,
    TransactionState,
    Verb,
    not_executed,
)

INTERNAL_REQUEST_ID = "-"
# Of a session's variables and prepared statements, which go along with a statement between hosts.
MAX_KEPT_CHARS = 2 << 20
KEPT_OVERHEAD_CHARS = 64  # counted for each of them
RATE_REFUSALS = (Kind.OVER_RATE, Kind.LIMITS_UNAVAILABLE, Kind.KEY_UNKNOWN)
END_VERBS = (Verb.COMMIT, Verb.ROLLBACK)
BEGIN_VERBS = (Verb.BEGIN, Verb.BEGIN_READ)
ROLLBACK = Statement(verb=Verb.ROLLBACK, text="ROLLBACK")
_ROLLBACK_TASKS: set[asyncio.Task] = set()


class _SessionTransaction:
    """Track the session's transaction, which begin_task opens in the background."""

    def __init__(self, *, admitted: AdmittedOperation, begin_task: asyncio.Task) -> None:
        self.admitted = admitted
        self.begin_task = begin_task
        self.open_transaction: OpenTransaction | None = None
        self.last_used_at = now()
        self.has_writes = False


class Session:
    """Run the statements of one caller, one at a time."""

    def __init__(
        self, *, name: str, database: str, key: str, admission: Admission, dispatcher: Dispatcher
    ) -> None:
        self.name = name
        self.busy = False
        self._database = database
        self._key = admission.digest(key)
        self._admission = admission
        self._dispatcher = dispatcher
        self._session_variables: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self._kept_sizes: dict[tuple[Verb, str], int] = {}  # in characters
        self._kept_chars = 0
        self._written_positions: dict[str, Position] = {}
        self._transaction: _SessionTransaction | None = None
        self._transaction_failed = False
        self._is_stopping = False

    @property
    def state(self) -> TransactionState:
        """Return the state of the session's transaction."""
        if self._transaction_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN if self._transaction else TransactionState.IDLE

    @property
    def kept_chars(self) -> int:
        """Return the size of the session's variables and prepared statements."""
        return self._kept_chars

    async def handle(self, request_id: str, statement: Statement) -> StatementResult:
        """Run one statement and return the result for the caller."""
        self.busy = True
        started_at = now()
        try:
            outcome = await self._handle(request_id, statement)
        finally:
            self.busy = False
        outcome = msgspec.structs.replace(outcome, state=self.state)
        self._admission.record_result(self._database, outcome, now() - started_at)
        if not outcome.ok:
            logs.warn(
                "refused" if not outcome.sent else "failed",
                request=request_id,
                session=self.name,
                verb=statement.verb.value,
                kind=outcome.kind.value,
                detail=outcome.detail,
                age=round(self._admission.age(), 3),
                ms=round((now() - started_at) * 1000, 1),
            )
        if self._is_stopping:
            await self._stop_transaction()
        return outcome

    def check(self) -> StatementResult:
        """Check whether the session may be opened."""
        return self._admission.check(self._database, self._key, new_session=True)

    async def expire_idle_transaction(self) -> None:
        """Roll back a transaction whose idle timeout has passed."""
        if self._transaction is None or self.busy or self._transaction_failed:
            return
        if now() - self._transaction.last_used_at > self._admission.transaction_idle():
            logs.warn(
                "transaction_expired",
                session=self.name,
                rested=now() - self._transaction.last_used_at,
            )
            await self._start_rollback()
            self._transaction_failed = True

    async def close(self) -> None:
        """Close the session and roll back its transaction."""
        await self._start_rollback()

    async def stop(self) -> None:
        """Begin nothing new, and fail an open transaction once its running statement has ended."""
        self._is_stopping = True
        if not self.busy:
            await self._stop_transaction()

    def abandoned(self) -> StatementResult:
        """Return the result of a running statement whose own one the caller can't be sent."""
        return StatementResult(
            kind=Kind.OUTCOME_UNKNOWN,
            detail="the host stopped before the statement ended",
            state=self.state,
        )

    async def _stop_transaction(self) -> None:
        if self._transaction is not None:
            logs.warn("transaction_stopped", session=self.name)
            await self._fail_transaction()

    def _keep(self, statement: Statement) -> StatementResult:
        """Keep a variable or a prepared statement, unless the session would keep too much."""
        key = (statement.verb, statement.name)
        text = statement.prepared.text if statement.prepared else statement.argument
        size = len(statement.name) + len(text) + KEPT_OVERHEAD_CHARS
        kept_chars = self._kept_chars - self._kept_sizes.get(key, 0) + size
        if kept_chars > MAX_KEPT_CHARS:
            return not_executed(
                Kind.TOO_LARGE, f"the session keeps {MAX_KEPT_CHARS} characters at most"
            )
        self._kept_chars, self._kept_sizes[key] = kept_chars, size
        if statement.verb is Verb.SET:
            self._session_variables[statement.name] = statement.argument
        else:
            self._prepared[statement.name] = statement.prepared
        return OK_NOT_SENT

    async def _handle(self, request_id: str, statement: Statement) -> StatementResult:
        if self._transaction_failed:
            return self._after_failure(statement)
        if statement.verb in (Verb.SET, Verb.PREPARE):
            return self._keep(statement)
        if statement.verb is Verb.DEALLOCATE:
            if self._prepared.pop(statement.name, None) is None:
                return not_executed(Kind.UNKNOWN_STATEMENT, statement.name)
            self._kept_chars -= self._kept_sizes.pop((Verb.PREPARE, statement.name))
            return OK_NOT_SENT
        if statement.verb is Verb.EXECUTE:
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                await self._fail_transaction()
                return not_executed(Kind.UNKNOWN_STATEMENT, statement.name)
            # The link builds the text, with the name that the statement has on that link.
            statement = msgspec.structs.replace(statement, prepared=prepared, text="")
        if self._transaction:
            return await self._run_in_transaction(request_id, statement)
        if statement.verb in END_VERBS:
            return not_executed(Kind.BAD_REQUEST, "no transaction is open")
        return await self._run_without_transaction(request_id, statement)

    def _after_failure(self, statement: Statement) -> StatementResult:
        if statement.verb not in END_VERBS:
            return not_executed(Kind.BAD_REQUEST, "the transaction has failed; end it first")
        self._transaction_failed = False
        if statement.verb is Verb.ROLLBACK:
            return OK_NOT_SENT
        return not_executed(Kind.TRANSACTION_LOST, "the transaction failed and was rolled back")

    async def _run_without_transaction(
        self, request_id: str, statement: Statement
    ) -> StatementResult:
        if self._is_stopping:
            return STOPPING
        if statement.verb in BEGIN_VERBS:
            return await self._begin(request_id, statement)
        admitted = await self._admission.admit(self._database, self._key, request_id)
        if isinstance(admitted, StatementResult):
            return admitted
        outcome = await self._dispatcher.run_single(
            self._context(admitted), self._bind(request_id, statement)
        )
        if outcome.ok and statement.writes:
            self._record_position(admitted.rule, outcome)
        return outcome

    async def _begin(self, request_id: str, statement: Statement) -> StatementResult:
        """Answer at once; open the transaction while the caller's next statement is under way.

        A team that is at its rate is answered only once it has a rate token, so that it takes no
        link from others.
        """
        operation = self._admission.operation(self._database, self._key)
        if isinstance(operation, StatementResult):
            return operation
        if self._admission.expects_token(operation):
            opening = self._open_transaction(operation, request_id, statement)
        else:
            operation = await self._admission.admit(self._database, self._key, request_id)
            if isinstance(operation, StatementResult):
                return operation
            if self._is_stopping:
                return STOPPING
            bound = self._bind(INTERNAL_REQUEST_ID, statement)
            opening = self._dispatcher.begin(self._context(operation), bound)
        begin_task = asyncio.get_running_loop().create_task(opening)
        self._transaction = _SessionTransaction(admitted=operation, begin_task=begin_task)
        return OK_NOT_SENT

    async def _open_transaction(
        self, operation: AdmittedOperation, request_id: str, statement: Statement
    ) -> tuple[StatementResult, OpenTransaction | None]:
        """Open a transaction at a member while a rate token for it is obtained."""
        context = self._context(operation)
        begin_task = asyncio.get_running_loop().create_task(
            self._dispatcher.begin(context, self._bind(INTERNAL_REQUEST_ID, statement))
        )
        refusal = await self._admission.spend_token(operation, request_id)
        outcome, opened = await begin_task
        if refusal.ok:
            return outcome, opened
        if opened is not None:
            await self._roll_back_at_target(opened, context)
        return refusal, None

    async def _run_in_transaction(self, request_id: str, statement: Statement) -> StatementResult:
        transaction = self._transaction
        transaction.last_used_at = now()
        if statement.verb in BEGIN_VERBS:
            await self._fail_transaction()
            return not_executed(Kind.BAD_REQUEST, "a transaction is already open")
        if statement.verb is Verb.ROLLBACK:
            await self._start_rollback()
            return OK_NOT_SENT
        if transaction.open_transaction is None:
            outcome, transaction.open_transaction = await transaction.begin_task
            if transaction.open_transaction is None:
                return await self._fail_with(statement, _opening_refusal(outcome))
        refusal = self._check_transaction(transaction)
        if not refusal.ok:
            return await self._fail_with(statement, refusal)
        outcome = await self._dispatcher.run(
            transaction.open_transaction,
            self._context(transaction.admitted),
            self._bind(request_id, statement),
        )
        transaction.last_used_at = now()
        transaction.has_writes = transaction.has_writes or statement.writes
        return await self._after_statement(statement, outcome)

    def _check_transaction(self, transaction: _SessionTransaction) -> StatementResult:
        """Check that the key still belongs to the team that the transaction runs under."""
        operation = self._admission.operation(self._database, self._key)
        if isinstance(operation, StatementResult):
            return operation
        if operation.team != transaction.admitted.team:
            return not_executed(Kind.TRANSACTION_LOST, "the key belongs to another team now")
        return OK_NOT_SENT

    async def _after_statement(
        self, statement: Statement, outcome: StatementResult
    ) -> StatementResult:
        """Update the transaction after a statement and return the result for the caller."""
        rule = self._transaction.admitted.rule
        if statement.verb is Verb.COMMIT:
            if outcome.ok and self._transaction.has_writes:
                self._record_position(rule, outcome)
            if not outcome.ok:
                await self._start_rollback()
            self._transaction = None
            return outcome
        if outcome.ok and outcome.state is TransactionState.OPEN:
            return outcome
        if outcome.kind in (Kind.TARGET_FAILED, Kind.TARGET_TIMEOUT):
            return await self._fail_with(statement, outcome)
        reason = outcome.detail or (
            outcome.kind.value if outcome.kind else "the target ended the transaction"
        )
        return await self._fail_with(
            statement, StatementResult(kind=Kind.TRANSACTION_LOST, detail=reason)
        )

    async def _fail_with(self, statement: Statement, outcome: StatementResult) -> StatementResult:
        await self._fail_transaction()
        if statement.verb is Verb.COMMIT:
            self._transaction_failed = False
        return outcome

    async def _fail_transaction(self) -> None:
        if self._transaction is None:
            return
        await self._start_rollback()
        self._transaction_failed = True

    async def _start_rollback(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        task = asyncio.get_running_loop().create_task(self._roll_back(transaction))
        _ROLLBACK_TASKS.add(task)
        task.add_done_callback(_ROLLBACK_TASKS.discard)

    async def _roll_back(self, transaction: _SessionTransaction) -> None:
        if transaction.open_transaction is None:
            _, transaction.open_transaction = await transaction.begin_task
        if transaction.open_transaction is not None:
            await self._roll_back_at_target(
                transaction.open_transaction, self._context(transaction.admitted)
            )

    async def _roll_back_at_target(
        self, opened: OpenTransaction, context: StatementContext
    ) -> None:
        bound = self._bind(INTERNAL_REQUEST_ID, ROLLBACK)
        outcome = await self._dispatcher.run(opened, context, bound)
        if not outcome.ok:
            await self._dispatcher.rollback(opened)

    def _context(self, admitted: AdmittedOperation) -> StatementContext:
        session_position = None
        if admitted.rule.freshness is Freshness.SESSION:
            session_position = self._written_positions.get(admitted.rule.group)
        return StatementContext(
            rule=admitted.rule, team=admitted.team, session_position=session_position
        )

    def _bind(self, request_id: str, statement: Statement) -> BoundStatement:
        return BoundStatement(
            request_id=request_id,
            statement=statement,
            session_variables=dict(self._session_variables),
        )

    def _record_position(self, rule: RouteRule, outcome: StatementResult) -> None:
        if outcome.position:
            known = self._written_positions.get(rule.group)
            self._written_positions[rule.group] = (
                max(known, outcome.position) if known else outcome.position
            )


def _opening_refusal(outcome: StatementResult) -> StatementResult:
    """Return the answer to the first statement of a transaction that could not be opened."""
    if outcome.kind in RATE_REFUSALS:
        return outcome
    reason = outcome.detail or (outcome.kind.value if outcome.kind else "the link was closed")
    return not_executed(Kind.TRANSACTION_LOST, f"the transaction could not be opened: {reason}")
