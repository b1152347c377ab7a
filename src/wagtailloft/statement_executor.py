"""Run single statements on the members of one group, at most once, with true refusals."""

import random
import time
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from wagtailloft import logs, requests_table
from wagtailloft.adapters.members import MemberRejected, MemberRequest, MemberResponse
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.retries import RetryBudget, pause
from wagtailloft.controllers.routing import Load, MemberChoice, choose
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Ran, Refusal
from wagtailloft.gate import SlotRequest
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member import MemberEndpoint
from wagtailloft.metrics import Metrics
from wagtailloft.models import Answer, Call, Mode, Position, Rows, Statement
from wagtailloft.options import Options

PRIMARY_POLL_S = 0.5
CONFIRM_TIMEOUT_S = 0.3
LEVEL_GRACE_S = 0.02

ANSWERS = {
    "sql_error": Kind.SQL_ERROR,
    "no_transaction": Kind.TRANSACTION_LOST,
}


@dataclass(kw_only=True)
class CallState:
    """Hold one call on its way through the owner."""

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
        """Return the seconds until the deadline, never quite none."""
        return max(0.001, self.deadline - time.monotonic())

    def slot_request(self) -> SlotRequest:
        """Return the call's claim to a slot."""
        return SlotRequest(
            team=self.call.team,
            weight=self.weight,
            deadline=self.deadline,
            limit=self.options.queue_limit,
            inside=bool(self.call.transaction),
        )


class StatementExecutor:
    """Route single statements, retry what may be retried, and wait for the majority."""

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
        self._budget = RetryBudget()

    def run(self, state: CallState) -> Result[Answer, Refusal]:
        """Run one statement and return its whole answer or a true refusal."""
        ran = self._run(state)
        if ran.is_ok() or not state.outcome_unknown or ran.err_value.reply.ran is not Ran.NO:
            return ran
        detail = f"an earlier try may have run; {ran.err_value.kind.value}"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def _run(self, state: CallState) -> Result[Answer, Refusal]:
        self._budget.share = state.options.retry_share
        self._budget.served()
        while True:
            chosen = self._choose(state)
            if isinstance(chosen, Err):
                return chosen
            choice = chosen.ok_value
            try:
                sent = self._send(state, choice)
                ran = sent.and_then(lambda o, c=choice: self._finish(state, c, o))
                if not self._must_resolve_outcome(state, ran):
                    return ran
                refusal, reason = ran.err_value, "unacknowledged"
            except MemberRejected as exc:
                if self._repeats(exc, state):
                    return self._repeated(state)
                refusal, reason = self._refused(exc), exc.reason
                state.skip_replicas = state.skip_replicas or reason == "behind"
                if self._lacks_table(exc, state):
                    refusal, reason = self._make_table(state), "lock_busy"
            except NotSent as exc:
                refusal, reason = Refusal(kind=Kind.NO_PRIMARY, detail=str(exc)), "not_sent"
            except NoResponse as exc:
                refusal, reason = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)), "silent"
                state.outcome_unknown = True
            if self._must_resolve_outcome(state, Err(refusal)):
                found = self.resolve_outcome(state, refusal)
                if found.is_ok() or found.err_value.kind is not Kind.STALE_TERM:
                    return found
                refusal, reason = found.err_value, "replaced"
                state.outcome_unknown = False
            if not self._again(state, reason, refusal):
                return Err(refusal)

    def _must_resolve_outcome(self, state: CallState, ran: Result[Answer, Refusal]) -> bool:
        if ran.is_ok() or ran.err_value.kind is not Kind.OUTCOME_UNKNOWN:
            return False
        return not self._may_run_twice(state)

    def resolve_outcome(self, state: CallState, refusal: Refusal) -> Result[Answer, Refusal]:
        """Find out whether a request ran whose answer was lost; the refusal if it stays unknown.

        Sent in a term that a later one replaced without it, it can never run: a stale term.
        """
        if not state.options.request_table:
            return Err(refusal)
        self._note(state, "looks up the outcome", refusal.detail)
        while time.monotonic() < state.deadline:
            found = self._find(state)
            if isinstance(found, Ok):
                return found
            if found.err_value.kind is Kind.STALE_TERM:
                return found
            if found.err_value.kind is Kind.NOT_FOUND and not self._may_be_replaced(state):
                return Err(refusal)
            time.sleep(pause(state.retries, self._rng))
            state.retries += 1
        return Err(refusal)

    def wait_for_primary(self, state: CallState) -> Result[MemberChoice, Refusal]:
        """Return the primary for a call, waiting for one until the deadline."""
        write = msgspec.structs.replace(state.call, mode=Mode.WRITE)
        while True:
            chosen = choose(write, self._monitor.view(), (), 0.0, time.monotonic())
            if isinstance(chosen, Ok):
                return chosen
            until = min(state.deadline, time.monotonic() + PRIMARY_POLL_S)
            if until <= time.monotonic():
                return chosen
            self._monitor.wait_for(lambda v: v.primary is not None, until)

    def wait_for_majority(self, state: CallState, position: Position) -> Result[Position, Refusal]:
        """Wait until a majority received a position in its term."""
        if self._monitor.wait_acknowledged(position, state.deadline):
            return Ok(position)
        detail = "no majority received it in its term"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def key_still_valid(self, state: CallState) -> bool:
        """Tell whether the call's key still stands for its team."""
        call = state.call
        if self._catalog.objects.revision < call.revision:
            return True
        return self._catalog.key_holds(call.key_digest, call.team)

    def _choose(self, state: CallState) -> Result[MemberChoice, Refusal]:
        if state.call.mode is Mode.WRITE or state.skip_replicas:
            return self.wait_for_primary(state)
        loads = tuple(
            Load(member=name, wait=endpoint.gate.expected_wait())
            for name, endpoint in self._endpoints.items()
        )
        patience = state.options.replica_wait
        chosen = choose(state.call, self._monitor.view(), loads, patience, time.monotonic())
        if isinstance(chosen, Err):
            return self.wait_for_primary(state)
        choice = chosen.ok_value
        if choice.wait > 0 and not self._wait_level(choice, state):
            return self.wait_for_primary(state)
        return chosen

    def _wait_level(self, choice: MemberChoice, state: CallState) -> bool:
        until = min(state.deadline, time.monotonic() + choice.wait + LEVEL_GRACE_S)
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

    def _may_run_twice(self, state: CallState) -> bool:
        if state.call.mode is Mode.READ:
            return True
        return state.call.idempotent and not state.options.request_table

    def _repeats(self, exc: MemberRejected, state: CallState) -> bool:
        return self._concerns_table(state) and requests_table.DUPLICATE_ERROR in exc.detail

    def _lacks_table(self, exc: MemberRejected, state: CallState) -> bool:
        return self._concerns_table(state) and requests_table.MISSING_TABLE_ERROR in exc.detail

    def _concerns_table(self, state: CallState) -> bool:
        return state.call.mode is Mode.WRITE and state.options.request_table

    def _statements(self, state: CallState) -> tuple[Statement, ...]:
        call = state.call
        if call.mode is Mode.READ or not state.options.request_table:
            return (call.statement,)
        key = requests_table.request_key(call.team, call.request_id)
        return (
            requests_table.insert_request(key),
            call.statement,
            requests_table.record_row_count(key),
        )

    def _finish(
        self, state: CallState, choice: MemberChoice, outcome: MemberResponse
    ) -> Result[Answer, Refusal]:
        if state.call.mode is Mode.READ:
            return self._finish_read(state, choice, outcome)
        acknowledged = self.wait_for_majority(state, outcome.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        index = 1 if len(outcome.results) > 1 else 0
        return Ok(self._answer(state, choice.member, outcome.results[index], outcome.position))

    def _finish_read(
        self, state: CallState, choice: MemberChoice, outcome: MemberResponse
    ) -> Result[Answer, Refusal]:
        if choice.confirm and not self._monitor.confirm(outcome.term, CONFIRM_TIMEOUT_S):
            return Err(Refusal(kind=Kind.NO_PRIMARY, detail="no majority confirmed the primary"))
        answer = self._answer(state, choice.member, outcome.results[0], Position())
        self._metrics.reads.labels(answer.role).inc()
        self._note(state, f"read at {choice.member} ({answer.role})", choice.why)
        return Ok(answer)

    def _answer(self, state: CallState, member: str, rows: Rows, position: Position) -> Answer:
        primary = self._monitor.view().primary
        leads = primary is not None and primary.member.name == member
        return Answer(
            request_id=state.call.request_id,
            rows=rows,
            position=position,
            served_by=member,
            role="primary" if leads else "replica",
        )

    def _make_table(self, state: CallState) -> Refusal:
        made = Refusal(kind=Kind.LOCK_BUSY, detail="the request table was not there")
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
        return made

    def _repeated(self, state: CallState) -> Result[Answer, Refusal]:
        self._note(state, "has run before", "its id is in the request table")
        refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="it ran; its outcome can't be read")
        return self.resolve_outcome(state, refusal)

    def _may_be_replaced(self, state: CallState) -> bool:
        """Tell whether the primary that the call was sent to seems to be gone."""
        view = self._monitor.view()
        if view.primary is None or view.term > state.sent_term > 0:
            return True
        return state.sent_term > 0 and not view.primary.reachable

    def _find(self, state: CallState) -> Result[Answer, Refusal]:
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
                outcome = acquired.ok_value.call("run", request, state.remaining())
        except (MemberRejected, NotSent, NoResponse) as exc:
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)))
        rows = requests_table.parse_outcome(outcome.results[0])
        acknowledged = self.wait_for_majority(state, outcome.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        if rows is None and 0 < state.sent_term < outcome.position.term:
            return Err(Refusal(kind=Kind.STALE_TERM, detail="its primary was replaced without it"))
        if rows is None:
            return Err(Refusal(kind=Kind.NOT_FOUND))
        answer = self._answer(state, name, rows, outcome.position)
        return Ok(msgspec.structs.replace(answer, repeated=True))

    def _refused(self, exc: MemberRejected) -> Refusal:
        kinds = {"lock_busy": Kind.LOCK_BUSY, "behind": Kind.NO_REPLICA}
        kind = ANSWERS.get(exc.reason) or kinds.get(exc.reason, Kind.NO_PRIMARY)
        return Refusal(kind=kind, detail=exc.detail or exc.reason)

    def _again(self, state: CallState, reason: str, refusal: Refusal) -> bool:
        if refusal.kind in ANSWERS.values():
            return False
        if not self._budget.spend(reason):
            self._note(state, "is not retried", "the retry budget is empty")
            return False
        wait = pause(state.retries, self._rng)
        if time.monotonic() + wait >= state.deadline:
            return False
        self._metrics.retries.labels(reason).inc()
        self._note(state, f"retry after {reason}", refusal.detail)
        state.retries += 1
        time.sleep(wait)
        return True

    def _note(self, state: CallState, what: str, why: str) -> None:
        self._decisions.add(state.call.request_id, what, why)
