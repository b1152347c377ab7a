"""Choose the member that serves a statement."""

import msgspec
from result import Err, Ok, Result

from wagtailloft.controllers.views import GroupView, MemberView, TimedPosition
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Call, Mode, Position, Record, Role

SAMPLE_GRACE_S = 0.05


class SlotWait(Record):
    """Hold the expected wait for a slot of one member, in seconds."""

    member: str
    wait: float = 0.0


class MemberChoice(Record):
    """Hold the chosen member, the position it must have applied, and how long to wait for it."""

    member: str
    after: Position = Position()
    wait: float = 0.0
    confirm: bool = False
    why: str = ""


def choose_member(
    call: Call, view: GroupView, loads: tuple[SlotWait, ...], patience: float, now: float
) -> Result[MemberChoice, Refusal]:
    """Return the member for a statement, or the reason why none can serve it."""
    primary = view.primary
    if call.mode is Mode.WRITE:
        return _primary(primary, call.after, "writes go to the primary")
    needed = _needed(call, view, now)
    if needed is None:
        chosen = _primary(primary, call.after, "no confirmed position is young enough")
        return chosen.map(lambda c: msgspec.structs.replace(c, confirm=True))
    ready = _ready(view, needed)
    if ready:
        least = min(ready, key=lambda m: (_wait(loads, m), m.member.name))
        return Ok(MemberChoice(member=least.member.name, after=needed, why="a replica is level"))
    bound = min(patience, _primary_wait(primary, loads))
    near = _nearest(view, needed, now)
    if near is not None and near[0] <= bound:
        wait, replica = near
        why = "a replica is level soon"
        return Ok(MemberChoice(member=replica.member.name, after=needed, wait=wait, why=why))
    return _primary(primary, needed, "no replica is level in time")


def age_position(view: GroupView, age: float, now: float) -> Position | None:
    """Return a position that holds every write acknowledged until so many seconds ago."""
    old = [s for s in view.samples if s.time >= now - age]
    if not old:
        return None
    return old[0].position


def _needed(call: Call, view: GroupView, now: float) -> Position | None:
    if call.max_age is None:
        return call.after
    position = age_position(view, call.max_age, now)
    if position is None:
        return None
    return max(position, call.after)


def _ready(view: GroupView, needed: Position) -> list[MemberView]:
    return [m for m in _replicas(view) if m.progress.applied.index >= needed.index]


def _replicas(view: GroupView) -> list[MemberView]:
    return [
        m
        for m in view.reachable()
        if m.progress.role is Role.REPLICA and m.progress.term == view.term and not m.member.leaving
    ]


def _nearest(view: GroupView, needed: Position, now: float) -> tuple[float, MemberView] | None:
    committed = _time_of(view.commits, needed.index)
    waits = []
    for replica in _replicas(view):
        level = _time_of(view.commits, replica.progress.applied.index + 1)
        if committed is None or level is None:
            continue
        lag = max(0.0, replica.last_seen - level)
        waits.append((max(0.0, committed + lag - now), replica))
    return min(waits, key=lambda w: (w[0], w[1].member.name), default=None)


def _time_of(samples: tuple[TimedPosition, ...], index: int) -> float | None:
    for sample in samples:
        if sample.position.index >= index:
            return sample.time
    return None


def _primary(
    primary: MemberView | None, after: Position, why: str
) -> Result[MemberChoice, Refusal]:
    if primary is None:
        return Err(Refusal(kind=Kind.NO_PRIMARY, detail="no member leads the group"))
    if primary.progress.term < after.term:
        return Err(Refusal(kind=Kind.NO_PRIMARY, detail="the known primary is of an older term"))
    return Ok(MemberChoice(member=primary.member.name, after=after, why=why))


def _primary_wait(primary: MemberView | None, loads: tuple[SlotWait, ...]) -> float:
    if primary is None:
        return float("inf")
    return _wait(loads, primary) + SAMPLE_GRACE_S


def _wait(loads: tuple[SlotWait, ...], view: MemberView) -> float:
    for load in loads:
        if load.member == view.member.name:
            return load.wait
    return 0.0
