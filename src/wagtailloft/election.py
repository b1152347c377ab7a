"""Carry out a promotion: claim a term, fence a majority, promote, publish, let the rest follow."""

import threading
import time
import uuid
from concurrent.futures import Future, ThreadPoolExecutor, as_completed
from concurrent.futures import TimeoutError as FutureTimeout

from result import Err, Ok

from wagtailloft import logs
from wagtailloft.adapters.members import Control, MemberRefused
from wagtailloft.adapters.object_api import Conflict, ObjectApi
from wagtailloft.controllers.failover import best
from wagtailloft.decisions import Decisions
from wagtailloft.errors import NoResponse
from wagtailloft.group_monitor import ControlFactory, GroupMonitor
from wagtailloft.models import Group, Leadership, Member, Progress, Record

CLAIM_TIMEOUT_S = 0.4
FENCE_TIMEOUT_S = 0.5
FENCE_GRACE_S = 0.05


class FenceCommand(Record):
    """Order a member to take a term for one claimant."""

    term: int
    claimant: str


class FollowCommand(Record):
    """Order a member to replicate from the primary of a term."""

    term: int
    source: str


class Election:
    """Promote a member of one group."""

    def __init__(
        self,
        *,
        host: str,
        monitor: GroupMonitor,
        controls: ControlFactory,
        object_api: ObjectApi,
        decisions: Decisions,
    ) -> None:
        self._host = host
        self._monitor = monitor
        self._controls = controls
        self._object_api = object_api
        self._decisions = decisions
        self._publishing = threading.Lock()
        self._claimant = host
        self.last_published = Leadership()

    @property
    def group(self) -> Group:
        """Return the group as it is described now."""
        return self._monitor.group

    def run(self, why: str, without_platform: bool, avoid: tuple[str, ...] = ()) -> bool:
        """Promote the best member but those to avoid; return False if that did not succeed."""
        started = time.monotonic()
        self._claimant = f"{self._host}/{uuid.uuid4().hex[:8]}"
        self._monitor.note_election(started)
        term = self._monitor.view().term + 1
        self._note("election started", f"term {term}: {why}")
        term = self._claim(term, without_platform)
        if term == 0:
            return False
        reports = self._fence(term)
        majority = self.group.majority
        if len(reports) < majority:
            self._note("election given up", f"{len(reports)} members took term {term}")
            return False
        leaving = frozenset(m.name for m in self.group.members if m.leaving)
        chosen = best(reports, majority, frozenset(avoid), leaving)
        if not self._promote(chosen.name, term):
            return False
        took = time.monotonic() - started
        why = f"{chosen.name} leads term {term} from {chosen.received} after {took:.3f} s"
        self._note("promoted", why)
        self.repoint_replicas(tuple(m.name for m in self.group.members if m.name != chosen.name))
        return True

    def repoint_replicas(self, names: tuple[str, ...]) -> None:
        """Point members at the present primary."""
        view = self._monitor.view()
        if view.primary is None:
            return
        leader = view.primary.member
        order = FollowCommand(term=view.term, source=f"{leader.ip}:{leader.control_port}")
        members = [m for m in self.group.members if m.name in names]
        with ThreadPoolExecutor(max(1, len(members))) as executor:
            for report in executor.map(lambda m: self._order(m, "follow", order), members):
                if report is not None:
                    self._monitor.record_progress(report)

    def publish(self) -> None:
        """Write the present term and primary to the platform if it shows older ones."""
        view = self._monitor.view()
        if view.primary is None or view.term <= self.last_published.term:
            return
        if not self._publishing.acquire(blocking=False):
            return
        try:
            name = view.primary.member.name
            wanted = Leadership(term=view.term, primary=name, claimant=self._host)
            self._write(wanted, CLAIM_TIMEOUT_S * 2)
        finally:
            self._publishing.release()

    def _claim(self, term: int, without_platform: bool) -> int:
        claim = Leadership(term=term, claimant=self._claimant)
        written = self._write(claim, CLAIM_TIMEOUT_S)
        if isinstance(written, Ok):
            return written.ok_value.term
        if isinstance(written.err_value, Conflict):
            self._note("claim lost", "another host claimed a term first")
            return 0
        if not without_platform:
            self._note("claim waits", "the platform does not answer")
            return 0
        self._note("claim without the platform", "the platform does not answer")
        return term

    def _write(self, wanted: Leadership, timeout: float) -> Ok[Leadership] | Err:
        found = self._object_api.get("leadership", self.group.name, timeout)
        if isinstance(found, Err):
            return found
        version, known = 0, Leadership()
        if found.ok_value is not None:
            version = found.ok_value.revision
            known = found.ok_value.decode(Leadership)
        wanted = _after(wanted, known)
        if wanted is None:
            return Ok(known)
        put = self._object_api.put("leadership", self.group.name, wanted, version, timeout)
        if isinstance(put, Err):
            return put
        if wanted.primary:
            self.last_published = wanted
        return Ok(wanted)

    def _fence(self, term: int) -> tuple[Progress, ...]:
        order = FenceCommand(term=term, claimant=self._claimant)
        members = self.group.members
        executor = ThreadPoolExecutor(len(members))
        futs = [executor.submit(self._order, m, "fence", order) for m in members]
        executor.shutdown(wait=False)
        return tuple(_gather(futs, self.group.majority))

    def _promote(self, name: str, term: int) -> bool:
        member = next(m for m in self.group.members if m.name == name)
        report = self._order(member, "promote", FenceCommand(term=term, claimant=self._claimant))
        if report is None:
            self._note("election given up", f"{name} was not promoted in term {term}")
            return False
        self._monitor.record_progress(report)
        return True

    def _order(self, member: Member, action: str, order: Record) -> Progress | None:
        control: Control = self._controls(member)
        try:
            return control.order(action, order)
        except (NoResponse, MemberRefused) as exc:
            logs.event("order_failed", member=member.name, action=action, why=exc)
            return None

    def _note(self, what: str, why: str) -> None:
        logs.event("failover", group=self.group.name, what=what, why=why)
        self._decisions.add(self.group.name, what, why)


def _after(wanted: Leadership, known: Leadership) -> Leadership | None:
    if wanted.primary:
        return wanted if (wanted.term, 1) > (known.term, bool(known.primary)) else None
    term = max(wanted.term, known.term + 1)
    return Leadership(term=term, claimant=wanted.claimant)


def _gather(futs: list[Future], enough: int) -> list[Progress]:
    reports: list[Progress] = []
    limit = FENCE_TIMEOUT_S
    started = time.monotonic()
    pending = set(futs)
    while pending:
        left = started + limit - time.monotonic()
        try:
            fut = next(as_completed(pending, timeout=max(0.0, left)))
        except FutureTimeout:
            break
        pending.discard(fut)
        report = fut.result()
        if report is not None:
            reports.append(report)
        if len(reports) >= enough:
            limit = min(limit, time.monotonic() - started + FENCE_GRACE_S)
    return reports
