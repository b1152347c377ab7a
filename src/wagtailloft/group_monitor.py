"""Heartbeats to the members of one group; their results form the group's view on the board."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, wait
from functools import partial

import msgspec

from wagtailloft.adapters.members import MemberControl
from wagtailloft.board import Blackboard
from wagtailloft.controllers.failover import majority_position
from wagtailloft.controllers.views import NEVER, GroupView, MemberView, TimedPosition
from wagtailloft.errors import NoResponse
from wagtailloft.models import Group, Member, Position, Progress, Role
from wagtailloft.supervision import Supervisor
from wagtailloft.timers import Clock

HEARTBEATS = "heartbeats"
RETRY_DELAY_S = 0.08
MAX_SAMPLES = 256
INDEX_ABOVE_ANY_LOG = 1 << 62  # no log reaches it, so the member answers when the wait ends

ControlFactory = Callable[[Member], MemberControl]


class GroupMonitor:
    """Poll each member on a connection of its own and update the group's view."""

    def __init__(
        self,
        *,
        group: Group,
        board: Blackboard,
        controls: ControlFactory,
        heartbeat_interval: Callable[[], float],
        supervisor: Supervisor,
        clock: Clock = time.monotonic,
    ) -> None:
        self.group = group
        self._board = board
        self._controls = controls
        self._heartbeat_interval = heartbeat_interval
        self._supervisor = supervisor
        self._clock = clock
        self._lock = threading.Lock()
        self._requested_at: dict[str, float] = {}
        self._recorded_at: dict[str, float] = {}
        self._stopped = threading.Event()
        views = tuple(MemberView(member=m) for m in group.members)
        board.write(group.name, GroupView(group=group, members=views))

    def start(self) -> None:
        """Start one polling thread for each member."""
        for member in self.group.members:
            self._supervisor.start_thread(
                HEARTBEATS, partial(self._poll, member), is_stopped=self._stopped.is_set
            )

    def stop(self) -> None:
        """Stop polling and remove the view from the board."""
        self._stopped.set()
        self._board.remove(GroupView, self.group.name)

    def view(self) -> GroupView:
        """Return the current view; without members after stop()."""
        view = self._board.read(GroupView, self.group.name)
        return view or GroupView(group=self.group, members=())

    def update_group(self, group: Group) -> None:
        """Replace the group's description; it must describe the same members."""
        self.group = group
        by_name = {m.name: m for m in group.members}
        self._update(
            lambda v: msgspec.structs.replace(
                v,
                group=group,
                members=tuple(
                    msgspec.structs.replace(m, member=by_name.get(m.member.name, m.member))
                    for m in v.members
                ),
            )
        )

    def record_election(self, now: float) -> None:
        """Record the start time of an election, in monotonic seconds, and count the election."""
        self._update(
            lambda v: msgspec.structs.replace(v, last_election=now, elections=v.elections + 1)
        )

    def record_progress(self, progress: Progress, requested_at: float) -> None:
        """Record what a member reported, outside of a heartbeat, to a request sent then."""
        self._record_answer(progress.name, progress, requested_at)

    def wait_for(self, ready: Callable[[GroupView], bool], deadline: float) -> bool:
        """Wait until the view satisfies a condition; return False after the deadline."""
        return self._board.wait(lambda: ready(self.view()), deadline - self._clock())

    def wait_acknowledged(self, position: Position, deadline: float) -> bool:
        """Wait until a majority has received a position; return whether it has by the deadline.

        The position is one that the primary of its term returned for a committed write. If the view
        is in a later term, the wait ends at once.
        """
        self._record_commit(position)

        def ready(view: GroupView) -> bool:
            if view.term > position.term:
                return True
            return _acknowledged_position(view, position.term) >= position

        self.wait_for(ready, deadline)
        return _acknowledged_position(self.view(), position.term) >= position

    def confirm_term(self, term: int, timeout: float) -> bool:
        """Ask all members for their term; tell whether a majority answers with the given one."""
        members = self.group.members
        with ThreadPoolExecutor(len(members)) as executor:
            futs = [executor.submit(self._is_in_term, m, term) for m in members]
            wait(futs, timeout=timeout)
            agreed = sum(1 for f in futs if f.done() and f.result())
        return agreed >= self.group.majority

    def last_heartbeat_answered(self, name: str) -> bool:
        """Tell whether a member answered its last heartbeat."""
        return self._view_of(name).reachable

    def fetch_progress(self, name: str) -> Progress:
        """Fetch a member's current progress and record it; raise NoResponse."""
        member = self._view_of(name).member
        requested_at = self._clock()
        progress = self._controls(member).current_progress()
        self.record_progress(progress, requested_at)
        return progress

    def _record_commit(self, position: Position) -> None:
        """Add a committed position to the view and advance the primary's own progress to it."""

        def change(view: GroupView) -> GroupView:
            members = tuple(
                msgspec.structs.replace(m, progress=_advance_primary(m.progress, position))
                for m in view.members
            )
            commit = TimedPosition(time=self._clock(), position=position)
            commits = (*view.commits[-MAX_SAMPLES:], commit)
            return msgspec.structs.replace(view, members=members, commits=commits)

        self._update(change)

    def _is_in_term(self, member: Member, term: int) -> bool:
        try:
            return self._controls(member).current_progress().term == term
        except NoResponse:
            return False
        except Exception as exc:  # one member must not hide the answers of the others
            self._supervisor.report("confirm_term", exc, group=self.group.name, member=member.name)
            return False

    def _poll(self, member: Member) -> None:
        control = self._controls(member)
        while not self._stopped.is_set():
            requested_at = self._clock()
            try:
                progress = self._request_progress(control, member)
            except NoResponse:
                self._record_miss(member.name)
                self._stopped.wait(RETRY_DELAY_S)
                continue
            except Exception as exc:
                self._supervisor.report(HEARTBEATS, exc, group=self.group.name, member=member.name)
                control = self._controls(member)  # the connection may have an unread response
                self._record_miss(member.name)
                self._stopped.wait(RETRY_DELAY_S)
                continue
            self._record_answer(member.name, progress, requested_at)

    def _request_progress(self, control: MemberControl, member: Member) -> Progress:
        """Send a heartbeat and return the member's progress; raise NoResponse.

        A member that missed its last heartbeat, or has not responded to one yet, responds at once.
        Otherwise a replica responds after the heartbeat interval, or sooner if its position
        changes; the primary always responds after the interval.
        """
        view = self._view_of(member.name)
        if view.missed_heartbeats or view.progress is None:
            return control.progress(0, 0, 0)
        progress = view.progress
        if progress.role is Role.PRIMARY:
            return control.progress(
                INDEX_ABOVE_ANY_LOG, INDEX_ABOVE_ANY_LOG, self._heartbeat_interval()
            )
        return control.progress(
            progress.received.index, progress.applied.index, self._heartbeat_interval()
        )

    def _view_of(self, name: str) -> MemberView:
        for view in self.view().members:
            if view.member.name == name:
                return view
        return MemberView(member=self.group.members[0], missed_heartbeats=1)

    def _record_answer(self, name: str, progress: Progress, requested_at: float) -> None:
        def change(view: GroupView) -> GroupView:
            if self._is_outdated(view, name, progress, requested_at):
                return view
            self._requested_at[name] = requested_at
            self._recorded_at[name] = self._clock()
            members = tuple(
                (
                    msgspec.structs.replace(
                        m, progress=progress, last_seen=self._clock(), missed_heartbeats=0
                    )
                    if m.member.name == name
                    else m
                )
                for m in view.members
            )
            view = msgspec.structs.replace(view, members=members)
            return self._with_position_sample(view, progress)

        self._update(change)

    def _is_outdated(
        self, view: GroupView, name: str, progress: Progress, requested_at: float
    ) -> bool:
        """Tell whether a later report of a member is known.

        Of a heartbeat and an election's command that ran at once, the report with the higher term
        is the later one.
        """
        terms = (m.progress.term for m in view.members if m.member.name == name and m.progress)
        known_term = next(terms, 0)
        if progress.term < known_term:
            return requested_at < self._recorded_at.get(name, NEVER)
        return progress.term == known_term and requested_at < self._requested_at.get(name, NEVER)

    def _record_miss(self, name: str) -> None:
        def change(view: GroupView) -> GroupView:
            members = tuple(
                (
                    msgspec.structs.replace(m, missed_heartbeats=m.missed_heartbeats + 1)
                    if m.member.name == name
                    else m
                )
                for m in view.members
            )
            return msgspec.structs.replace(view, members=members)

        self._update(change)

    def _with_position_sample(self, view: GroupView, progress: Progress) -> GroupView:
        """Add a position sample if the member is primary and a majority confirms its term.

        The primary and that majority were all asked at or after the time of the sample.
        """
        if progress.role is not Role.PRIMARY or progress.term != view.term:
            return view
        request_times = sorted(
            (
                self._requested_at[m.member.name]
                for m in view.members
                if self._confirms_term(m, view.term)
            ),
            reverse=True,
        )
        if len(request_times) < view.majority:
            return view
        sample = TimedPosition(
            time=min(self._requested_at[progress.name], request_times[view.majority - 1]),
            position=progress.applied,
        )
        return msgspec.structs.replace(view, samples=(*view.samples[-MAX_SAMPLES:], sample))

    def _confirms_term(self, view: MemberView, term: int) -> bool:
        if view.member.name not in self._requested_at or view.progress is None:
            return False
        return view.progress.term == term

    def _update(self, change: Callable[[GroupView], GroupView]) -> None:
        with self._lock:
            if not self._stopped.is_set():
                self._board.write(self.group.name, change(self.view()))


def _acknowledged_position(view: GroupView, term: int) -> Position:
    reports = tuple(m.progress for m in view.members if m.progress)
    return majority_position(reports, term, view.majority)


def _advance_primary(progress: Progress | None, position: Position) -> Progress | None:
    if progress is None or progress.role is not Role.PRIMARY:
        return progress
    if progress.term != position.term or progress.received >= position:
        return progress
    return msgspec.structs.replace(progress, received=position, applied=position)
