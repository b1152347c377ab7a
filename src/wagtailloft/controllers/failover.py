"""Decide when a group needs a failover, and which member becomes primary."""

from enum import Enum

from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.models import Position, Progress, Record, Role

FAILED_AFTER_MISSES = 3  # missed heartbeats in a row
SOURCE_SILENCE_S = 0.9  # a replica without its source for this long has lost the primary
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
BACKOFF_RESET_S = 20.0


class FailoverAction(Enum):
    """Name the action that a group needs from its owner."""

    NOTHING = "nothing"
    ELECT = "elect"
    SWITCH_OVER = "hand_over"
    REPOINT_REPLICAS = "follow"


class FailoverPlan(Record):
    """Describe the next action for a group, and why.

    `members` lists the replicas to repoint; `avoid` lists members that should not be promoted.
    """

    action: FailoverAction
    why: str = ""
    members: tuple[str, ...] = ()
    avoid: tuple[str, ...] = ()


def next_action(view: GroupView, now: float) -> FailoverPlan:
    """Return the next action for a group."""
    reachable = view.reachable()
    if len(reachable) < view.majority:
        return FailoverPlan(
            action=FailoverAction.NOTHING, why="no majority of members can be reached"
        )
    why = _failover_reason(view, reachable)
    if why:
        if now - view.last_election < backoff(view, now):
            return FailoverPlan(action=FailoverAction.NOTHING, why="backing off after an election")
        failed = (view.primary.member.name,) if view.primary else ()
        return FailoverPlan(action=FailoverAction.ELECT, why=why, avoid=failed)
    misdirected = _misdirected_replicas(view, reachable)
    if misdirected:
        return FailoverPlan(
            action=FailoverAction.REPOINT_REPLICAS,
            why="not following the primary",
            members=misdirected,
        )
    if _may_switch_over(view, reachable, now):
        return FailoverPlan(action=FailoverAction.SWITCH_OVER, why="the primary is leaving")
    return FailoverPlan(action=FailoverAction.NOTHING)


def primary_failed(view: GroupView) -> bool:
    """Tell whether the group needs an election, whether or not it is time for one."""
    return bool(_failover_reason(view, view.reachable()))


def backoff(view: GroupView, now: float) -> float:
    """Return the minimum time in seconds between the last election and the next one."""
    if now - view.last_election > BACKOFF_RESET_S:
        return 0.0
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** max(0, view.elections - 1))


def best_candidate(
    reports: tuple[Progress, ...],
    majority: int,
    avoid: frozenset[str] = frozenset(),
    leaving: frozenset[str] = frozenset(),
) -> Progress:
    """Return the fenced member with the highest log position; ties prefer one that stays.

    The members in `avoid` are excluded only if the other reports still form a majority, because
    any majority holds every acknowledged write.
    """
    others = tuple(r for r in reports if r.name not in avoid)
    candidates = others if len(others) >= majority else reports
    return max(candidates, key=lambda r: (r.received, r.name not in leaving, r.name))


def majority_position(reports: tuple[Progress, ...], term: int, majority: int) -> Position:
    """Return the highest position that a majority received in a term, or the zero position."""
    received = sorted(
        (r.received for r in reports if r.term == term and r.received.term == term), reverse=True
    )
    if len(received) < majority:
        return Position()
    return received[majority - 1]


def _failover_reason(view: GroupView, reachable: tuple[MemberView, ...]) -> str:
    """Return why the group needs an election, or an empty text; used as a metric label."""
    primary = view.primary
    if primary is None:
        undecided = any(
            not m.reachable and m.missed_heartbeats < FAILED_AFTER_MISSES for m in view.members
        )
        return "" if undecided else "no member is primary"
    if not primary.reachable:
        return (
            "the primary does not answer"
            if primary.missed_heartbeats >= FAILED_AFTER_MISSES
            else ""
        )
    cut_off = [m for m in reachable if _lost_primary(m, view.term)]
    if cut_off and len(view.members) - len(cut_off) < view.majority:
        return "the primary is cut off from its group"
    return ""


def _lost_primary(view: MemberView, term: int) -> bool:
    progress = view.progress
    in_term = progress.role is Role.REPLICA and progress.term == term
    return in_term and progress.source_age > SOURCE_SILENCE_S


def _misdirected_replicas(view: GroupView, reachable: tuple[MemberView, ...]) -> tuple[str, ...]:
    primary = view.primary
    misdirected = [
        m.member.name
        for m in reachable
        if m is not primary
        and (m.progress.term < view.term or m.progress.source_age > SOURCE_SILENCE_S / 3)
    ]
    return tuple(misdirected)


def _may_switch_over(view: GroupView, reachable: tuple[MemberView, ...], now: float) -> bool:
    primary = view.primary
    if primary is None or not primary.member.leaving:
        return False
    if now - view.last_election < INITIAL_BACKOFF_S:
        return False
    staying = [m for m in reachable if not m.member.leaving]
    return len(staying) > 0 and len(reachable) >= view.majority
