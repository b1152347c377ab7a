"""Heartbeats to the members of one group, kept as a view on the board."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, wait

import msgspec

from wagtailloft.adapters.members import Control
from wagtailloft.board import Blackboard
from wagtailloft.controllers.failover import acknowledged
from wagtailloft.controllers.views import NEVER, GroupView, MemberView, Sample
from wagtailloft.errors import NoResponse
from wagtailloft.models import Group, Member, Position, Progress, Role
from wagtailloft.timers import Clock

PROBE_PAUSE_S = 0.08
SAMPLES = 256
FAR = 1 << 62

ControlFactory = Callable[[Member], Control]


class GroupMonitor:
    """Poll each member on its own connection and keep the group's view."""

    def __init__(
        self,
        *,
        group: Group,
        board: Blackboard,
        controls: ControlFactory,
        pace: Callable[[], float],
        clock: Clock = time.monotonic,
    ) -> None:
        self.group = group
        self._board = board
        self._controls = controls
        self._pace = pace
        self._clock = clock
        self._lock = threading.Lock()
        self._asked: dict[str, float] = {}
        self._stopped = threading.Event()
        views = tuple(MemberView(member=m) for m in group.members)
        board.write(group.name, GroupView(group=group, members=views))

    def start(self) -> None:
        """Start polling."""
        for member in self.group.members:
            name = f"watch-{self.group.name}-{member.name}"
            threading.Thread(target=self._poll, args=(member,), name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._board.remove(GroupView, self.group.name)

    def view(self) -> GroupView:
        """Return the present view."""
        view = self._board.read(GroupView, self.group.name)
        return view or GroupView(group=self.group, members=())

    def update_group(self, group: Group) -> None:
        """Take a new description of the same members."""
        self.group = group
        named = {m.name: m for m in group.members}
        self._update(
            lambda v: msgspec.structs.replace(
                v,
                group=group,
                members=tuple(
                    msgspec.structs.replace(m, member=named.get(m.member.name, m.member))
                    for m in v.members
                ),
            )
        )

    def note_election(self, now: float) -> None:
        """Remember that an election started."""
        self._update(
            lambda v: msgspec.structs.replace(v, last_election=now, elections=v.elections + 1)
        )

    def record_progress(self, progress: Progress) -> None:
        """Take a member's report that came outside of a heartbeat."""
        self._report(progress.name, progress, self._clock())

    def wait_for(self, ready: Callable[[GroupView], bool], deadline: float) -> bool:
        """Wait until the view satisfies a condition; return False after the deadline."""
        return self._board.wait(lambda: ready(self.view()), deadline - self._clock())

    def wait_acknowledged(self, position: Position, deadline: float) -> bool:
        """Wait until a majority received a position that the primary of its term returned."""
        self._committed(position)

        def ready(view: GroupView) -> bool:
            if view.term > position.term:
                return True
            return _acknowledged(view, position.term) >= position

        self.wait_for(ready, deadline)
        return _acknowledged(self.view(), position.term) >= position

    def confirm_term(self, term: int, timeout: float) -> bool:
        """Ask all members now whether a majority is still in a term."""
        members = self.group.members
        with ThreadPoolExecutor(len(members)) as executor:
            futs = [executor.submit(self._is_in, m, term) for m in members]
            wait(futs, timeout=timeout)
            agreed = sum(1 for f in futs if f.done() and f.result())
        return agreed >= self.group.majority

    def last_heartbeat_answered(self, name: str) -> bool:
        """Tell whether a member answered its last heartbeat."""
        return self._view_of(name).reachable

    def fetch_progress(self, name: str) -> Progress:
        """Ask a member for its progress now; raise NoResponse."""
        member = self._view_of(name).member
        progress = self._controls(member).ask()
        self.record_progress(progress)
        return progress

    def _committed(self, position: Position) -> None:
        def change(view: GroupView) -> GroupView:
            members = tuple(
                msgspec.structs.replace(m, progress=_moved(m.progress, position))
                for m in view.members
            )
            commit = Sample(time=self._clock(), position=position)
            commits = (*view.commits[-SAMPLES:], commit)
            return msgspec.structs.replace(view, members=members, commits=commits)

        self._update(change)

    def _is_in(self, member: Member, term: int) -> bool:
        try:
            return self._controls(member).ask().term == term
        except NoResponse:
            return False

    def _poll(self, member: Member) -> None:
        control = self._controls(member)
        while not self._stopped.is_set():
            asked = self._clock()
            try:
                progress = self._ask(control, member)
            except NoResponse:
                self._missed(member.name)
                self._stopped.wait(PROBE_PAUSE_S)
                continue
            self._report(member.name, progress, asked)

    def _ask(self, control: Control, member: Member) -> Progress:
        view = self._view_of(member.name)
        if view.misses or view.progress is None:
            return control.progress(0, 0, 0)
        progress = view.progress
        if progress.role is Role.PRIMARY:
            return control.progress(FAR, FAR, self._pace())
        return control.progress(progress.received.index, progress.applied.index, self._pace())

    def _view_of(self, name: str) -> MemberView:
        for view in self.view().members:
            if view.member.name == name:
                return view
        return MemberView(member=self.group.members[0], misses=1)

    def _report(self, name: str, progress: Progress, asked: float) -> None:
        def change(view: GroupView) -> GroupView:
            if asked < self._asked.get(name, NEVER):
                return view
            self._asked[name] = asked
            members = tuple(
                (
                    msgspec.structs.replace(m, progress=progress, seen=self._clock(), misses=0)
                    if m.member.name == name
                    else m
                )
                for m in view.members
            )
            view = msgspec.structs.replace(view, members=members)
            return self._sampled(view, progress)

        self._update(change)

    def _missed(self, name: str) -> None:
        def change(view: GroupView) -> GroupView:
            members = tuple(
                msgspec.structs.replace(m, misses=m.misses + 1) if m.member.name == name else m
                for m in view.members
            )
            return msgspec.structs.replace(view, members=members)

        self._update(change)

    def _sampled(self, view: GroupView, progress: Progress) -> GroupView:
        if progress.role is not Role.PRIMARY or progress.term != view.term:
            return view
        times = sorted(
            (self._asked[m.member.name] for m in view.members if self._confirms(m, view.term)),
            reverse=True,
        )
        if len(times) < view.majority:
            return view
        sample = Sample(
            time=min(self._asked[progress.name], times[view.majority - 1]),
            position=progress.applied,
        )
        return msgspec.structs.replace(view, samples=(*view.samples[-SAMPLES:], sample))

    def _confirms(self, view: MemberView, term: int) -> bool:
        if view.member.name not in self._asked or view.progress is None:
            return False
        return view.progress.term == term

    def _update(self, change: Callable[[GroupView], GroupView]) -> None:
        with self._lock:
            if not self._stopped.is_set():
                self._board.write(self.group.name, change(self.view()))


def _acknowledged(view: GroupView, term: int) -> Position:
    reports = tuple(m.progress for m in view.members if m.progress)
    return acknowledged(reports, term, view.majority)


def _moved(progress: Progress | None, position: Position) -> Progress | None:
    if progress is None or progress.role is not Role.PRIMARY:
        return progress
    if progress.term != position.term or progress.received >= position:
        return progress
    return msgspec.structs.replace(progress, received=position, applied=position)
