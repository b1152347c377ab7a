"""Choose the member that serves a statement."""

import msgspec
from result import Err, Ok, Result

from wagtailloft.controllers.views import GroupView, MemberView, TimedPosition
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Call, Mode, Position, Record, Role

# A read waits up to this much longer for a replica than for the primary.
PRIMARY_READ_PENALTY_S = 0.05


class SlotWait(Record):
    """Describe the expected wait for a slot of one member, in seconds."""

    member: str
    wait: float = 0.0


class MemberChoice(Record):
    """Describe the member chosen for a statement, and what has to hold there.

    The member must have applied `after`, which is expected within `wait` seconds. With `confirm`,
    a majority must confirm the primary's term after the read.
    """

    member: str
    after: Position = Position()
    wait: float = 0.0
    confirm: bool = False
    why: str = ""


def choose_member(
    call: Call,
    view: GroupView,
    slot_waits: tuple[SlotWait, ...],
    max_replica_wait: float,
    now: float,
) -> Result[MemberChoice, Refusal]:
    """Return the member for a statement, or the reason why none can serve it.

    A read waits for a replica to catch up for at most `max_replica_wait` seconds, and no longer
    than the wait for the primary plus PRIMARY_READ_PENALTY_S.
    """
    primary = view.primary
    if call.mode is Mode.WRITE:
        return _primary(primary, call.after, "writes go to the primary")
    required = _required_position(call, view, now)
    if required is None:
        chosen = _primary(primary, call.after, "no confirmed position is recent enough")
        return chosen.map(lambda c: msgspec.structs.replace(c, confirm=True))
    caught_up = _caught_up_replicas(view, required)
    if caught_up:
        least_busy = min(caught_up, key=lambda m: (_slot_wait(slot_waits, m), m.member.name))
        return Ok(
            MemberChoice(
                member=least_busy.member.name,
                after=required,
                why="a replica has applied the required position",
            )
        )
    max_wait = min(max_replica_wait, _primary_wait(primary, slot_waits))
    soonest = _soonest_replica(view, required, now)
    if soonest is not None and soonest[0] <= max_wait:
        wait, replica = soonest
        why = "a replica applies the required position soon enough"
        return Ok(MemberChoice(member=replica.member.name, after=required, wait=wait, why=why))
    return _primary(primary, required, "no replica applies the required position in time")


def explain_member(
    member: MemberView, call: Call, view: GroupView, choice: MemberChoice | None, now: float
) -> str:
    """Return why a member is the choice for a statement, or why it is not."""
    name = member.member.name
    if choice and name == choice.member:
        return f"chosen: {choice.why}"
    if choice and view.primary is member:
        return "used if the replica lacks the position"
    if call.mode is Mode.WRITE:
        return "writes go to the primary"
    unfit = _unfit_reason(member, view)
    if unfit:
        return unfit
    required = _required_position(call, view, now)
    if required is None:
        return "no confirmed position is recent enough"
    if member not in _caught_up_replicas(view, required):
        return "has not applied the required position"
    return "another replica has a shorter wait, or as short a one"


def age_position(view: GroupView, age: float, now: float) -> Position | None:
    """Return a position that holds every write acknowledged up to `age` seconds ago.

    Return None if no sample is that recent.
    """
    recent = [s for s in view.samples if s.time >= now - age]
    if not recent:
        return None
    return recent[0].position


def _required_position(call: Call, view: GroupView, now: float) -> Position | None:
    if call.max_age is None:
        return call.after
    position = age_position(view, call.max_age, now)
    if position is None:
        return None
    return max(position, call.after)


def _caught_up_replicas(view: GroupView, required: Position) -> list[MemberView]:
    return [m for m in _replicas(view) if m.progress.applied.index >= required.index]


def _replicas(view: GroupView) -> list[MemberView]:
    return [m for m in view.members if not _unfit_reason(m, view)]


def _unfit_reason(member: MemberView, view: GroupView) -> str:
    """Return why a member can't serve reads as a replica, an empty text if it can."""
    if not member.reachable:
        return "does not answer"
    if member.progress.role is not Role.REPLICA:
        return "is not a replica"
    if member.progress.term != view.term:
        return "is in another term"
    return "is leaving" if member.member.leaving else ""


def _soonest_replica(
    view: GroupView, required: Position, now: float
) -> tuple[float, MemberView] | None:
    """Return the replica that should apply a position first, with the wait in seconds.

    Each replica is expected to keep the lag that it had when it was last seen.
    """
    committed_at = _time_of(view.commits, required.index)
    waits = []
    for replica in _replicas(view):
        first_missing_at = _time_of(view.commits, replica.progress.applied.index + 1)
        if committed_at is None or first_missing_at is None:
            continue
        lag = max(0.0, replica.last_seen - first_missing_at)
        waits.append((max(0.0, committed_at + lag - now), replica))
    return min(waits, key=lambda w: (w[0], w[1].member.name), default=None)


def _time_of(commits: tuple[TimedPosition, ...], index: int) -> float | None:
    for commit in commits:
        if commit.position.index >= index:
            return commit.time
    return None


def _primary(
    primary: MemberView | None, after: Position, why: str
) -> Result[MemberChoice, Refusal]:
    if primary is None:
        return Err(Refusal(kind=Kind.NO_PRIMARY, detail="the group has no primary"))
    if primary.progress.term < after.term:
        return Err(
            Refusal(
                kind=Kind.NO_PRIMARY,
                detail="the known primary has an older term than the required position",
            )
        )
    return Ok(MemberChoice(member=primary.member.name, after=after, why=why))


def _primary_wait(primary: MemberView | None, slot_waits: tuple[SlotWait, ...]) -> float:
    if primary is None:
        return float("inf")
    return _slot_wait(slot_waits, primary) + PRIMARY_READ_PENALTY_S


def _slot_wait(slot_waits: tuple[SlotWait, ...], view: MemberView) -> float:
    for slot_wait in slot_waits:
        if slot_wait.member == view.member.name:
            return slot_wait.wait
    return 0.0
