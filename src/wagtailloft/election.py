"""Election of a group's primary.

An election claims a new term, fences a majority of the members, promotes the best of them and
points the others at it. The new primary is then published on the platform.
"""

import threading
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor, as_completed
from concurrent.futures import TimeoutError as FutureTimeout

from result import Err, Ok

from wagtailloft import logs
from wagtailloft.adapters.members import MemberControl, MemberRejected
from wagtailloft.adapters.object_api import ObjectApi, WriteConflict
from wagtailloft.controllers.failover import best_candidate
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse
from wagtailloft.group_monitor import ControlFactory, GroupMonitor
from wagtailloft.models import Group, Member, Progress, PublishedPrimary, Record
from wagtailloft.supervision import Supervisor

CLAIM_TIMEOUT_S = 0.4
FENCE_TIMEOUT_S = 0.5
FENCE_GRACE_S = 0.05  # time for the other members after a majority has accepted the term


class TermCommand(Record):
    """Body of the fence and promote commands: the claimed term and its claimant.

    claimant identifies the election, so that a term accepted for one is not used by another.
    """

    term: int
    claimant: str


class FollowCommand(Record):
    """A command to replicate from the primary of a term, whose control address is the source."""

    term: int
    source: str


class Election:
    """Elect the primary of one group and publish it."""

    def __init__(
        self,
        *,
        host: str,
        monitor: GroupMonitor,
        controls: ControlFactory,
        object_api: ObjectApi,
        decisions: Decisions,
        supervisor: Supervisor,
    ) -> None:
        self._host = host
        self._monitor = monitor
        self._controls = controls
        self._object_api = object_api
        self._decisions = decisions
        self._supervisor = supervisor
        self._publish_lock = threading.Lock()
        self._claim_id = host
        self.last_published = PublishedPrimary()

    @property
    def group(self) -> Group:
        """Return the current description of the group."""
        return self._monitor.group

    def run(self, why: str, without_platform: bool, avoid: tuple[str, ...] = ()) -> bool:
        """Promote the member with the highest log; return False if the election was abandoned.

        A member to avoid is considered only if the others are no majority. With without_platform
        the election continues when the platform does not answer the claim.
        """
        started = time.monotonic()
        self._claim_id = f"{self._host}/{uuid.uuid4().hex[:8]}"
        self._monitor.record_election(started)
        term = self._monitor.view().term + 1
        self._record_decision("election started", f"term {term}: {why}")
        term = self._claim(term, without_platform)
        if term == 0:
            return False
        reports = self._fence(term)
        majority = self.group.majority
        if len(reports) < majority:
            self._record_decision(
                "election abandoned", f"{len(reports)} members accepted term {term}"
            )
            return False
        leaving = frozenset(m.name for m in self.group.members if m.leaving)
        best_report = best_candidate(reports, majority, frozenset(avoid), leaving)
        if not self._promote(best_report.name, term):
            return False
        elapsed = time.monotonic() - started
        why = (
            f"{best_report.name} is primary of term {term} from {best_report.received}"
            f" after {elapsed:.3f} s"
        )
        self._record_decision("promoted", why)
        self.repoint_replicas(
            tuple(m.name for m in self.group.members if m.name != best_report.name)
        )
        return True

    def repoint_replicas(self, names: tuple[str, ...]) -> None:
        """Make the named members replicate from the current primary."""
        view = self._monitor.view()
        if view.primary is None:
            return
        primary = view.primary.member
        command = FollowCommand(term=view.term, source=f"{primary.ip}:{primary.control_port}")
        members = [m for m in self.group.members if m.name in names]
        requested_at = time.monotonic()
        with ThreadPoolExecutor(max(1, len(members))) as executor:
            for report in executor.map(lambda m: self._send_command(m, "follow", command), members):
                if report is not None:
                    self._monitor.record_progress(report, requested_at)

    def publish(self) -> None:
        """Write the current term and primary to the platform if its record is older."""
        view = self._monitor.view()
        if view.primary is None or view.term <= self.last_published.term:
            return
        if not self._publish_lock.acquire(blocking=False):
            return
        try:
            name = view.primary.member.name
            record = PublishedPrimary(term=view.term, primary=name, claimant=self._host)
            self._write(record, CLAIM_TIMEOUT_S * 2)
        finally:
            self._publish_lock.release()

    def _claim(self, term: int, without_platform: bool) -> int:
        """Claim a term; return the claimed one, or 0 if the election has to be abandoned."""
        claim = PublishedPrimary(term=term, claimant=self._claim_id)
        written = self._write(claim, CLAIM_TIMEOUT_S)
        if isinstance(written, Ok):
            return written.ok_value.term
        if isinstance(written.err_value, WriteConflict):
            self._record_decision(
                "claim lost", "another host wrote the group's published primary first"
            )
            return 0
        if written.err_value.kind is Kind.OUTCOME_UNKNOWN and self._platform_answers():
            self._record_decision("claim in doubt", "the platform answers, but not the claim")
            return 0
        if not without_platform:
            self._record_decision(
                "election abandoned", "the platform does not answer, and claim_alone is off"
            )
            return 0
        self._record_decision("claim without the platform", "the platform does not answer")
        return term

    def _platform_answers(self) -> bool:
        return self._object_api.get("leadership", self.group.name, CLAIM_TIMEOUT_S).is_ok()

    def _write(self, record: PublishedPrimary, timeout: float) -> Ok[PublishedPrimary] | Err:
        """Write a record unless the stored one is as new; return the record then in force."""
        found = self._object_api.get("leadership", self.group.name, timeout)
        if isinstance(found, Err):
            return found
        version, stored = 0, PublishedPrimary()
        if found.ok_value is not None:
            version = found.ok_value.revision
            stored = found.ok_value.decode(PublishedPrimary)
        record = _next_record(record, stored)
        if record is None:
            if stored.primary:
                self.last_published = stored
            return Ok(stored)
        put = self._object_api.put("leadership", self.group.name, record, version, timeout)
        if isinstance(put, Err):
            return put
        if record.primary:
            self.last_published = record
        return Ok(record)

    def _fence(self, term: int) -> tuple[Progress, ...]:
        command = TermCommand(term=term, claimant=self._claim_id)
        members = self.group.members
        executor = ThreadPoolExecutor(len(members))
        futs = [executor.submit(self._send_command, m, "fence", command) for m in members]
        executor.shutdown(wait=False)
        return tuple(_collect_reports(futs, self.group.majority))

    def _promote(self, name: str, term: int) -> bool:
        member = next(m for m in self.group.members if m.name == name)
        requested_at = time.monotonic()
        report = self._send_command(
            member, "promote", TermCommand(term=term, claimant=self._claim_id)
        )
        if report is None:
            self._record_decision("election abandoned", f"{name} was not promoted in term {term}")
            return False
        self._monitor.record_progress(report, requested_at)
        return True

    def _send_command(self, member: Member, action: str, command: Record) -> Progress | None:
        control: MemberControl = self._controls(member)
        try:
            return control.command(action, command)
        except (NoResponse, MemberRejected) as exc:
            logs.event("order_failed", member=member.name, action=action, why=exc)
            return None
        except Exception as exc:  # one member must not keep a majority of others from an election
            self._supervisor.report(f"order_{action}", exc, member=member.name)
            return None

    def _record_decision(self, what: str, why: str) -> None:
        logs.event("failover", group=self.group.name, what=what, why=why)
        self._decisions.add(self.group.name, what, why)


def _next_record(record: PublishedPrimary, stored: PublishedPrimary) -> PublishedPrimary | None:
    """Return what to store: a new primary's record, or a claim of a term above the stored one.

    None means that the stored record is at least as new as that of the new primary.
    """
    if record.primary:
        return record if (record.term, 1) > (stored.term, bool(stored.primary)) else None
    term = max(record.term, stored.term + 1)
    return PublishedPrimary(term=term, claimant=record.claimant)


def _collect_reports(futs: list[Future], majority: int) -> list[Progress]:
    """Collect the members' reports; after a majority wait only FENCE_GRACE_S for the others."""
    reports: list[Progress] = []
    limit = FENCE_TIMEOUT_S
    started = time.monotonic()
    pending = set(futs)
    while pending:
        remaining = started + limit - time.monotonic()
        try:
            fut = next(as_completed(pending, timeout=max(0.0, remaining)))
        except FutureTimeout:
            break
        pending.discard(fut)
        report = fut.result()
        if report is not None:
            reports.append(report)
        if len(reports) >= majority:
            limit = min(limit, time.monotonic() - started + FENCE_GRACE_S)
    return reports
