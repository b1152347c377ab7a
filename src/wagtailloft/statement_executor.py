"""Run single statements on the members of one group, at most once, with true refusals."""

import random
import time
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from wagtailloft import logs, requests_table
from wagtailloft.adapters.members import MemberRefused, Outcome, Work
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.retries import RetryBudget, pause
from wagtailloft.controllers.routing import Load, MemberChoice, choose
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Ran, Refusal
from wagtailloft.gate import SlotRequest
from wagtailloft.group_monitor import GroupMonitor
from wagtailloft.member import MemberAccess
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
class Attempt:
    """Hold one call on its way through the owner."""

    call: Call
    options: Options
    deadline: float
    weight: float
    tries: int = 0
    sent_term: int = 0
    behind: bool = False
    unknown: bool = False
    reasons: list[str] = field(default_factory=list)

    def left(self) -> float:
        """Return the seconds until the deadline, never quite none."""
        return max(0.001, self.deadline - time.monotonic())

    def slot_request(self) -> SlotRequest:
        """Return the call's claim to a slot."""
        return SlotRequest(
            team=self.call.team,
            weight=self.weight,
            deadline=self.deadline,
            limit=self.options.queue_limit,
            in_transaction=bool(self.call.transaction),
        )


class StatementExecutor:
    """Route single statements, retry what may be retried, and wait for the majority."""

    def __init__(
        self,
        *,
        monitor: GroupMonitor,
        accesses: dict[str, MemberAccess],
        catalog: Catalog,
        metrics: Metrics,
        decisions: Decisions,
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._accesses = accesses
        self._catalog = catalog
        self._metrics = metrics
        self._decisions = decisions
        self._rng = rng
        self._budget = RetryBudget()

    def run(self, attempt: Attempt) -> Result[Answer, Refusal]:
        """Run one statement and return its whole answer or a true refusal."""
        ran = self._run(attempt)
        if ran.is_ok() or not attempt.unknown or ran.err_value.reply.ran is not Ran.NO:
            return ran
        detail = f"an earlier try may have run; {ran.err_value.kind.value}"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def _run(self, attempt: Attempt) -> Result[Answer, Refusal]:
        self._budget.share = attempt.options.retry_share
        self._budget.served()
        while True:
            chosen = self._choose(attempt)
            if isinstance(chosen, Err):
                return chosen
            choice = chosen.ok_value
            try:
                sent = self._send(attempt, choice)
                ran = sent.and_then(lambda o, c=choice: self._finish(attempt, c, o))
                if not self._must_look_up(attempt, ran):
                    return ran
                refusal, reason = ran.err_value, "unacknowledged"
            except MemberRefused as exc:
                if self._repeats(exc, attempt):
                    return self._repeated(attempt)
                refusal, reason = self._refused(exc), exc.reason
                attempt.behind = attempt.behind or reason == "behind"
                if self._lacks_table(exc, attempt):
                    refusal, reason = self._make_table(attempt), "lock_busy"
            except NotSent as exc:
                refusal, reason = Refusal(kind=Kind.NO_PRIMARY, detail=str(exc)), "not_sent"
            except NoResponse as exc:
                refusal, reason = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)), "silent"
                attempt.unknown = True
            if self._must_look_up(attempt, Err(refusal)):
                found = self.look_up(attempt, refusal)
                if found.is_ok() or found.err_value.kind is not Kind.STALE_TERM:
                    return found
                refusal, reason = found.err_value, "replaced"
                attempt.unknown = False
            if not self._again(attempt, reason, refusal):
                return Err(refusal)

    def _must_look_up(self, attempt: Attempt, ran: Result[Answer, Refusal]) -> bool:
        if ran.is_ok() or ran.err_value.kind is not Kind.OUTCOME_UNKNOWN:
            return False
        return not self._may_run_twice(attempt)

    def look_up(self, attempt: Attempt, refusal: Refusal) -> Result[Answer, Refusal]:
        """Find out whether a request ran whose answer was lost; the refusal if it stays unknown.

        Sent in a term that a later one replaced without it, it can never run: a stale term.
        """
        if not attempt.options.request_table:
            return Err(refusal)
        self._note(attempt, "looks up the outcome", refusal.detail)
        while time.monotonic() < attempt.deadline:
            found = self._find(attempt)
            if isinstance(found, Ok):
                return found
            if found.err_value.kind is Kind.STALE_TERM:
                return found
            if found.err_value.kind is Kind.NOT_FOUND and not self._may_be_replaced(attempt):
                return Err(refusal)
            time.sleep(pause(attempt.tries, self._rng))
            attempt.tries += 1
        return Err(refusal)

    def primary(self, attempt: Attempt) -> Result[MemberChoice, Refusal]:
        """Return the primary for a call, waiting for one until the deadline."""
        write = msgspec.structs.replace(attempt.call, mode=Mode.WRITE)
        while True:
            chosen = choose(write, self._monitor.view(), (), 0.0, time.monotonic())
            if isinstance(chosen, Ok):
                return chosen
            until = min(attempt.deadline, time.monotonic() + PRIMARY_POLL_S)
            if until <= time.monotonic():
                return chosen
            self._monitor.wait_for(lambda v: v.primary is not None, until)

    def acknowledge(self, attempt: Attempt, position: Position) -> Result[Position, Refusal]:
        """Wait until a majority received a position in its term."""
        if self._monitor.wait_acknowledged(position, attempt.deadline):
            return Ok(position)
        detail = "no majority received it in its term"
        return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=detail))

    def allowed(self, attempt: Attempt) -> bool:
        """Tell whether the call's key still stands for its team."""
        call = attempt.call
        if self._catalog.objects.revision < call.revision:
            return True
        return self._catalog.key_is_valid(call.key_digest, call.team)

    def _choose(self, attempt: Attempt) -> Result[MemberChoice, Refusal]:
        if attempt.call.mode is Mode.WRITE or attempt.behind:
            return self.primary(attempt)
        loads = tuple(
            Load(member=name, wait=access.gate.expected_wait())
            for name, access in self._accesses.items()
        )
        patience = attempt.options.replica_wait
        chosen = choose(attempt.call, self._monitor.view(), loads, patience, time.monotonic())
        if isinstance(chosen, Err):
            return self.primary(attempt)
        choice = chosen.ok_value
        if choice.wait > 0 and not self._wait_level(choice, attempt):
            return self.primary(attempt)
        return chosen

    def _wait_level(self, choice: MemberChoice, attempt: Attempt) -> bool:
        until = min(attempt.deadline, time.monotonic() + choice.wait + LEVEL_GRACE_S)
        return self._monitor.wait_for(
            lambda v: any(
                m.member.name == choice.member and m.progress.applied >= choice.after
                for m in v.members
                if m.progress
            ),
            until,
        )

    def _send(self, attempt: Attempt, choice: MemberChoice) -> Result[Outcome, Refusal]:
        with self._accesses[choice.member].session(attempt.slot_request()) as session:
            if isinstance(session, Err):
                return session
            if not self.allowed(attempt):
                return Err(Refusal(kind=Kind.KEY_UNKNOWN, detail="the key was withdrawn"))
            work = Work(
                term=self._monitor.view().term,
                mode=attempt.call.mode.value,
                statements=self._statements(attempt),
                after=choice.after,
            )
            attempt.sent_term = work.term
            return Ok(session.ok_value.call("run", work, attempt.left()))

    def _may_run_twice(self, attempt: Attempt) -> bool:
        if attempt.call.mode is Mode.READ:
            return True
        return attempt.call.idempotent and not attempt.options.request_table

    def _repeats(self, exc: MemberRefused, attempt: Attempt) -> bool:
        return self._concerns_table(attempt) and requests_table.REPEATED in exc.detail

    def _lacks_table(self, exc: MemberRefused, attempt: Attempt) -> bool:
        return self._concerns_table(attempt) and requests_table.MISSING in exc.detail

    def _concerns_table(self, attempt: Attempt) -> bool:
        return attempt.call.mode is Mode.WRITE and attempt.options.request_table

    def _statements(self, attempt: Attempt) -> tuple[Statement, ...]:
        call = attempt.call
        if call.mode is Mode.READ or not attempt.options.request_table:
            return (call.statement,)
        key = requests_table.key_of(call.team, call.request_id)
        return (requests_table.enter(key), call.statement, requests_table.note_changes(key))

    def _finish(
        self, attempt: Attempt, choice: MemberChoice, outcome: Outcome
    ) -> Result[Answer, Refusal]:
        if attempt.call.mode is Mode.READ:
            return self._finish_read(attempt, choice, outcome)
        acknowledged = self.acknowledge(attempt, outcome.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        index = 1 if len(outcome.results) > 1 else 0
        return Ok(self._answer(attempt, choice.member, outcome.results[index], outcome.position))

    def _finish_read(
        self, attempt: Attempt, choice: MemberChoice, outcome: Outcome
    ) -> Result[Answer, Refusal]:
        if choice.confirm and not self._monitor.confirm_term(outcome.term, CONFIRM_TIMEOUT_S):
            return Err(Refusal(kind=Kind.NO_PRIMARY, detail="no majority confirmed the primary"))
        answer = self._answer(attempt, choice.member, outcome.results[0], Position())
        self._metrics.reads.labels(answer.role).inc()
        self._note(attempt, f"read at {choice.member} ({answer.role})", choice.why)
        return Ok(answer)

    def _answer(self, attempt: Attempt, member: str, rows: Rows, position: Position) -> Answer:
        primary = self._monitor.view().primary
        leads = primary is not None and primary.member.name == member
        return Answer(
            request_id=attempt.call.request_id,
            rows=rows,
            position=position,
            served_by=member,
            role="primary" if leads else "replica",
        )

    def _make_table(self, attempt: Attempt) -> Refusal:
        made = Refusal(kind=Kind.LOCK_BUSY, detail="the request table was not there")
        chosen = self.primary(attempt)
        if isinstance(chosen, Err):
            return chosen.err_value
        term = self._monitor.view().term
        work = Work(term=term, mode="write", statements=(requests_table.CREATE,))
        try:
            with self._accesses[chosen.ok_value.member].session(attempt.slot_request()) as session:
                if isinstance(session, Err):
                    return session.err_value
                session.ok_value.call("run", work, attempt.left())
        except (MemberRefused, NotSent, NoResponse) as exc:
            logs.event("request_table_not_made", why=exc)
        return made

    def _repeated(self, attempt: Attempt) -> Result[Answer, Refusal]:
        self._note(attempt, "has run before", "its id is in the request table")
        refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="it ran; its outcome can't be read")
        return self.look_up(attempt, refusal)

    def _may_be_replaced(self, attempt: Attempt) -> bool:
        """Tell whether the primary that the call was sent to seems to be gone."""
        view = self._monitor.view()
        if view.primary is None or view.term > attempt.sent_term > 0:
            return True
        return attempt.sent_term > 0 and not view.primary.reachable

    def _find(self, attempt: Attempt) -> Result[Answer, Refusal]:
        chosen = self.primary(attempt)
        if isinstance(chosen, Err):
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=chosen.err_value.detail))
        name = chosen.ok_value.member
        key = requests_table.key_of(attempt.call.team, attempt.call.request_id)
        term = self._monitor.view().term
        work = Work(term=term, mode="primary_read", statements=(requests_table.find(key),))
        try:
            with self._accesses[name].session(attempt.slot_request()) as session:
                if isinstance(session, Err):
                    return session
                outcome = session.ok_value.call("run", work, attempt.left())
        except (MemberRefused, NotSent, NoResponse) as exc:
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc)))
        rows = requests_table.outcome(outcome.results[0])
        acknowledged = self.acknowledge(attempt, outcome.position)
        if isinstance(acknowledged, Err):
            return acknowledged
        if rows is None and 0 < attempt.sent_term < outcome.position.term:
            return Err(Refusal(kind=Kind.STALE_TERM, detail="its primary was replaced without it"))
        if rows is None:
            return Err(Refusal(kind=Kind.NOT_FOUND))
        answer = self._answer(attempt, name, rows, outcome.position)
        return Ok(msgspec.structs.replace(answer, repeated=True))

    def _refused(self, exc: MemberRefused) -> Refusal:
        kinds = {"lock_busy": Kind.LOCK_BUSY, "behind": Kind.NO_REPLICA}
        kind = ANSWERS.get(exc.reason) or kinds.get(exc.reason, Kind.NO_PRIMARY)
        return Refusal(kind=kind, detail=exc.detail or exc.reason)

    def _again(self, attempt: Attempt, reason: str, refusal: Refusal) -> bool:
        if refusal.kind in ANSWERS.values():
            return False
        if not self._budget.spend(reason):
            self._note(attempt, "is not retried", "the retry budget is empty")
            return False
        wait = pause(attempt.tries, self._rng)
        if time.monotonic() + wait >= attempt.deadline:
            return False
        self._metrics.retries.labels(reason).inc()
        self._note(attempt, f"retry after {reason}", refusal.detail)
        attempt.tries += 1
        time.sleep(wait)
        return True

    def _note(self, attempt: Attempt, what: str, why: str) -> None:
        self._decisions.add(attempt.call.request_id, what, why)
