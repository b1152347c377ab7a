"""Execute single statements on the members of one group.

A write is executed at most once, and a refusal never claims that a statement was not executed if
it may have been.
"""

import random
import time
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from wagtailloft import logs, requests_table
from wagtailloft.adapters.members import MemberRejected, MemberRequest, MemberResponse
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.retries import RetryBudget, retry_delay
from wagtailloft.controllers.routing import MemberChoice, choose_member
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Execution, Kind, NoResponse, NotSent, Refusal
from wagtailloft.gate import SlotRequest
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member_endpoint import MemberEndpoint, slot_waits
from wagtailloft.metrics import Metrics
from wagtailloft.models import Answer, Call, Mode, Position, Rows, SqlStatement
from wagtailloft.options import Options

PRIMARY_POLL_S = 0.5
TERM_CONFIRM_TIMEOUT_S = 0.3
CATCH_UP_GRACE_S = 0.02

FINAL_REFUSALS = {
    "sql_error": Kind.SQL_ERROR,
    "no_transaction": Kind.TRANSACTION_LOST,
}


@dataclass(kw_only=True)
class CallState:
    """A call in progress at the owner, with its options and what its attempts have shown so far.

    The deadline is on the monotonic clock, in seconds. sent_term is the term of the last attempt
    that was sent, 0 if none was. outcome_unknown is true if an earlier attempt may have been
    executed.
    """

    call: Call
    options: Options
    deadline: float
    weight: float
    retries: int = 0
    sent_term: int = 0
    skip_replicas: bool = False
    outcome_unknown: bool = False
    reasons: list[str] = field(default_factory=list)

    def remaining(self) -> float:
        """Return the seconds until the deadline, at least 0.001."""
        return max(0.001, self.deadline - time.monotonic())

    def slot_request(self) -> SlotRequest:
        """Return the call's request for a slot of a member."""
        return SlotRequest(
            team=self.call.team,
            weight=self.weight,
            deadline=self.deadline,
            queue_limit=self.options.queue_limit,
            in_transaction=bool(self.call.transaction),
        )


class StatementExecutor:
    """Routes single statements to members, with retries; waits for writes to reach a majority."""

    def __init__(
        self,
        *,
        monitor: GroupMonitor,
        endpoints: dict[str, MemberEndpoint],
        catalog: Catalog,
        metrics: Metrics,
        decisions: Decisions,
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._endpoints = endpoints
        self._catalog = catalog
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._retry_budget = RetryBudget()

    def run(self, state: CallState) -> Result[Answer, Refusal]:
        """Execute one statement and return its complete answer or a refusal.

        The refusal is OUTCOME_UNKNOWN if an earlier attempt may have been executed, even if the
        last attempt was not.
        """
        result = self._run_with_retries(state)
        if (
            result.is_ok()
            or not state.outcome_unknown
            or result.err_value.spec.ran is not Execution.NO
        ):
            return result
        detail = f"an earlier attempt may have been executed; {result.err_value.kind.value}"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def _run_with_retries(self, state: CallState) -> Result[Answer, Refusal]:
        self._retry_budget.share = state.options.retry_share
        self._retry_budget.record_request()
        while True:
            chosen = self._choose_member(state)
            if isinstance(chosen, Err):
                return chosen
            choice = chosen.ok_value
            try:
                sent = self._send(state, choice)
                result = sent.and_then(lambda r, c=choice: self._complete(state, c, r))
                if not self._must_resolve_outcome(state, result):
                    return result
                refusal, reason = result.err_value, "unacknowledged"
            except MemberRejected as exc:
                if self._is_duplicate(exc, state):
                    return self._answer_duplicate(state)
                refusal, reason = self._refusal_for(exc), exc.reason
                state.skip_replicas = state.skip_replicas or reason == "behind"
                if self._is_request_table_missing(exc, state):
                    refusal, reason = self._create_request_table(state), "lock_busy"
            except NotSent as exc:
                refusal, reason = Refusal(kind=Kind.NO_PRIMARY, detail=str(exc)), "not_sent"
            except NoResponse as exc:
                refusal, reason = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)), "silent"
                state.outcome_unknown = True
            if self._must_resolve_outcome(state, Err(refusal)):
                resolved = self.resolve_outcome(state, refusal)
                if resolved.is_ok() or resolved.err_value.kind is not Kind.STALE_TERM:
                    return resolved
                refusal, reason = resolved.err_value, "replaced"
                state.outcome_unknown = False
            if not self._wait_before_retry(state, reason, refusal):
                return Err(refusal)

    def _must_resolve_outcome(self, state: CallState, result: Result[Answer, Refusal]) -> bool:
        if result.is_ok() or result.err_value.kind is not Kind.OUTCOME_UNKNOWN:
            return False
        return not self._is_retry_safe(state)

    def resolve_outcome(self, state: CallState, refusal: Refusal) -> Result[Answer, Refusal]:
        """Look up in the request table whether a request was executed whose response was lost.

        Return the given refusal if that stays unknown until the deadline. Return STALE_TERM if a
        majority confirmed the log of a later term and the request is not in it: the primary that
        it was sent to was replaced, so it can no longer be committed and may be sent again.
        """
        if not state.options.request_table:
            return Err(refusal)
        self._record_decision(state, "outcome looked up in the request table", refusal.detail)
        while time.monotonic() < state.deadline:
            resolved = self._query_request_table(state)
            if isinstance(resolved, Ok):
                return resolved
            if resolved.err_value.kind is Kind.STALE_TERM:
                return resolved
            if resolved.err_value.kind is Kind.NOT_FOUND and not self._primary_in_doubt(state):
                return Err(refusal)
            time.sleep(retry_delay(state.retries, self._rng))
            state.retries += 1
        return Err(refusal)

    def wait_for_primary(self, state: CallState) -> Result[MemberChoice, Refusal]:
        """Return the primary for a call, waiting until the deadline for the group to have one."""
        write = msgspec.structs.replace(state.call, mode=Mode.WRITE)
        while True:
            chosen = choose_member(write, self._monitor.view(), (), 0.0, time.monotonic())
            if isinstance(chosen, Ok):
                return chosen
            until = min(state.deadline, time.monotonic() + PRIMARY_POLL_S)
            if until <= time.monotonic():
                return chosen
            self._monitor.wait_for(lambda v: v.primary is not None, until)

    def wait_for_majority(self, state: CallState, position: Position) -> Result[Position, Refusal]:
        """Wait until a majority has received a position in the term that wrote it."""
        if self._monitor.wait_acknowledged(position, state.deadline):
            return Ok(position)
        detail = "no majority of the members received the write in its term"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def key_still_valid(self, state: CallState) -> bool:
        """Tell whether the call's key is still valid for its team.

        It is assumed valid while this host's settings are older than those that the entry checked
        it against.
        """
        call = state.call
        if self._catalog.objects.revision < call.revision:
            return True
        return self._catalog.key_is_valid(call.key_digest, call.team)

    def _choose_member(self, state: CallState) -> Result[MemberChoice, Refusal]:
        if state.call.mode is Mode.WRITE:
            return self.wait_for_primary(state)
        if state.skip_replicas:
            return self._wait_for_primary_to_read(state)
        max_replica_wait = state.options.replica_wait
        waits = slot_waits(self._endpoints)
        chosen = choose_member(
            state.call, self._monitor.view(), waits, max_replica_wait, time.monotonic()
        )
        if isinstance(chosen, Err):
            return self._wait_for_primary_to_read(state)
        choice = chosen.ok_value
        if choice.wait > 0 and not self._wait_caught_up(choice, state):
            return self._wait_for_primary_to_read(state)
        return chosen

    def _wait_for_primary_to_read(self, state: CallState) -> Result[MemberChoice, Refusal]:
        """Return the primary, which a majority has to confirm if the data's age is bounded."""
        is_bounded = state.call.max_age is not None
        chosen = self.wait_for_primary(state)
        return chosen.map(lambda c: msgspec.structs.replace(c, confirm=is_bounded))

    def _wait_caught_up(self, choice: MemberChoice, state: CallState) -> bool:
        until = min(state.deadline, time.monotonic() + choice.wait + CATCH_UP_GRACE_S)
        return self._monitor.wait_for(
            lambda v: any(
                m.member.name == choice.member and m.progress.applied >= choice.after
                for m in v.members
                if m.progress
            ),
            until,
        )

    def _send(self, state: CallState, choice: MemberChoice) -> Result[MemberResponse, Refusal]:
        with self._endpoints[choice.member].acquire_link(state.slot_request()) as acquired:
            if isinstance(acquired, Err):
                return acquired
            if not self.key_still_valid(state):
                return Err(Refusal(kind=Kind.KEY_UNKNOWN, detail="the key was withdrawn"))
            request = MemberRequest(
                term=self._monitor.view().term,
                mode=state.call.mode.value,
                statements=self._statements(state),
                after=choice.after,
            )
            state.sent_term = request.term
            return Ok(acquired.ok_value.call("run", request, state.remaining()))

    def _is_retry_safe(self, state: CallState) -> bool:
        if state.call.mode is Mode.READ:
            return True
        return state.call.idempotent and not state.options.request_table

    def _is_duplicate(self, exc: MemberRejected, state: CallState) -> bool:
        return self._uses_request_table(state) and requests_table.DUPLICATE_ERROR in exc.detail

    def _is_request_table_missing(self, exc: MemberRejected, state: CallState) -> bool:
        return self._uses_request_table(state) and requests_table.MISSING_TABLE_ERROR in exc.detail

    def _uses_request_table(self, state: CallState) -> bool:
        return state.call.mode is Mode.WRITE and state.options.request_table

    def _statements(self, state: CallState) -> tuple[SqlStatement, ...]:
        call = state.call
        if call.mode is Mode.READ or not state.options.request_table:
            return (call.statement,)
        key = requests_table.request_key(call.team, call.request_id)
        return (
            requests_table.insert_request(key),
            call.statement,
            requests_table.record_row_count(key),
        )

    def _complete(
        self, state: CallState, choice: MemberChoice, response: MemberResponse
    ) -> Result[Answer, Refusal]:
        if state.call.mode is Mode.READ:
            return self._complete_read(state, choice, response)
        acknowledged = self.wait_for_majority(state, response.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        index = 1 if len(response.results) > 1 else 0
        return Ok(
            self._build_answer(state, choice.member, response.results[index], response.position)
        )

    def _complete_read(
        self, state: CallState, choice: MemberChoice, response: MemberResponse
    ) -> Result[Answer, Refusal]:
        if choice.confirm and not self._monitor.confirm_term(response.term, TERM_CONFIRM_TIMEOUT_S):
            return Err(
                Refusal(kind=Kind.NO_PRIMARY, detail="no majority confirmed the primary's term")
            )
        answer = self._build_answer(state, choice.member, response.results[0], Position())
        self._metrics.reads.labels(answer.role).inc()
        self._record_decision(state, f"read at {choice.member} ({answer.role})", choice.why)
        return Ok(answer)

    def _build_answer(
        self, state: CallState, member: str, rows: Rows, position: Position
    ) -> Answer:
        primary = self._monitor.view().primary
        is_primary = primary is not None and primary.member.name == member
        return Answer(
            request_id=state.call.request_id,
            rows=rows,
            position=position,
            served_by=member,
            role="primary" if is_primary else "replica",
        )

    def _create_request_table(self, state: CallState) -> Refusal:
        refusal = Refusal(kind=Kind.LOCK_BUSY, detail="the request table did not exist")
        chosen = self.wait_for_primary(state)
        if isinstance(chosen, Err):
            return chosen.err_value
        term = self._monitor.view().term
        request = MemberRequest(term=term, mode="write", statements=(requests_table.CREATE_TABLE,))
        try:
            with self._endpoints[chosen.ok_value.member].acquire_link(
                state.slot_request()
            ) as acquired:
                if isinstance(acquired, Err):
                    return acquired.err_value
                acquired.ok_value.call("run", request, state.remaining())
        except (MemberRejected, NotSent, NoResponse) as exc:
            logs.event("request_table_not_made", why=exc)
        return refusal

    def _answer_duplicate(self, state: CallState) -> Result[Answer, Refusal]:
        self._record_decision(state, "duplicate request", "its id is in the request table")
        refusal = Refusal(
            kind=Kind.OUTCOME_UNKNOWN,
            detail="the request was executed, but its outcome could not be read",
        )
        return self.resolve_outcome(state, refusal)

    def _primary_in_doubt(self, state: CallState) -> bool:
        """Tell whether the primary that the call was sent to was replaced or cannot be reached."""
        view = self._monitor.view()
        if view.primary is None or view.term > state.sent_term > 0:
            return True
        return state.sent_term > 0 and not view.primary.reachable

    def _query_request_table(self, state: CallState) -> Result[Answer, Refusal]:
        chosen = self.wait_for_primary(state)
        if isinstance(chosen, Err):
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=chosen.err_value.detail))
        name = chosen.ok_value.member
        key = requests_table.request_key(state.call.team, state.call.request_id)
        term = self._monitor.view().term
        request = MemberRequest(
            term=term, mode="primary_read", statements=(requests_table.select_request(key),)
        )
        try:
            with self._endpoints[name].acquire_link(state.slot_request()) as acquired:
                if isinstance(acquired, Err):
                    return acquired
                response = acquired.ok_value.call("run", request, state.remaining())
        except (MemberRejected, NotSent, NoResponse) as exc:
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)))
        rows = requests_table.parse_outcome(response.results[0])
        acknowledged = self.wait_for_majority(state, response.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        if rows is None and 0 < state.sent_term < response.position.term:
            return Err(Refusal(kind=Kind.STALE_TERM, detail="a later term's log lacks the request"))
        if rows is None:
            return Err(Refusal(kind=Kind.NOT_FOUND))
        answer = self._build_answer(state, name, rows, response.position)
        return Ok(msgspec.structs.replace(answer, repeated=True))

    def _refusal_for(self, exc: MemberRejected) -> Refusal:
        kinds = {"lock_busy": Kind.LOCK_BUSY, "behind": Kind.NO_REPLICA}
        kind = FINAL_REFUSALS.get(exc.reason) or kinds.get(exc.reason, Kind.NO_PRIMARY)
        return Refusal(kind=kind, detail=exc.detail or exc.reason)

    def _wait_before_retry(self, state: CallState, reason: str, refusal: Refusal) -> bool:
        if refusal.kind in FINAL_REFUSALS.values():
            return False
        if not self._retry_budget.spend(reason):
            self._record_decision(state, "not retried", "the retry budget is exhausted")
            return False
        wait = retry_delay(state.retries, self._rng)
        if time.monotonic() + wait >= state.deadline:
            return False
        self._metrics.retries.labels(reason).inc()
        self._record_decision(state, f"retry after {reason}", refusal.detail)
        state.retries += 1
        time.sleep(wait)
        return True

    def _record_decision(self, state: CallState, what: str, why: str) -> None:
        self._decisions.add(state.call.request_id, what, why)
