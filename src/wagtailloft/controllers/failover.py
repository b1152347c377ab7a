"""Decide when a group needs a new primary, and which member that is."""

from enum import Enum

from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.models import Position, Progress, Record, Role

FAILED_AFTER_MISSES = 3
CUT_OFF_S = 0.9
BACKOFF_FIRST_S = 0.5
BACKOFF_LIMIT_S = 4.0
CALM_S = 20.0


class FailoverAction(Enum):
    """Name what the owner should do for a group now."""

    NOTHING = "nothing"
    ELECT = "elect"
    HAND_OVER = "hand_over"
    REPOINT_REPLICAS = "follow"


class FailoverPlan(Record):
    """Hold a move with its reason and the members that it concerns or avoids."""

    action: FailoverAction
    why: str = ""
    members: tuple[str, ...] = ()
    avoid: tuple[str, ...] = ()


def next_action(view: GroupView, now: float) -> FailoverPlan:
    """Return the next move for a group."""
    reachable = view.reachable()
    if len(reachable) < view.majority:
        return FailoverPlan(
            action=FailoverAction.NOTHING, why="no majority of members can be reached"
        )
    why = _failed(view, reachable)
    if why:
        if now - view.last_election < backoff(view, now):
            return FailoverPlan(action=FailoverAction.NOTHING, why="backing off after an election")
        failed = (view.primary.member.name,) if view.primary else ()
        return FailoverPlan(action=FailoverAction.ELECT, why=why, avoid=failed)
    astray = _astray(view, reachable)
    if astray:
        return FailoverPlan(
            action=FailoverAction.REPOINT_REPLICAS, why="not following the primary", members=astray
        )
    if _may_hand_over(view, reachable, now):
        return FailoverPlan(action=FailoverAction.HAND_OVER, why="the primary is leaving")
    return FailoverPlan(action=FailoverAction.NOTHING)


def backoff(view: GroupView, now: float) -> float:
    """Return how many seconds must pass between two elections."""
    if now - view.last_election > CALM_S:
        return 0.0
    return min(BACKOFF_LIMIT_S, BACKOFF_FIRST_S * 2 ** max(0, view.elections - 1))


def best_candidate(
    reports: tuple[Progress, ...],
    majority: int,
    avoid: frozenset[str] = frozenset(),
    leaving: frozenset[str] = frozenset(),
) -> Progress:
    """Return the fenced member with the highest log; among equals one that stays.

    A member to avoid is passed over only if the others are a majority without it, since any
    majority holds every acknowledged write.
    """
    others = tuple(r for r in reports if r.name not in avoid)
    candidates = others if len(others) >= majority else reports
    return max(candidates, key=lambda r: (r.received, r.name not in leaving, r.name))


def majority_position(reports: tuple[Progress, ...], term: int, majority: int) -> Position:
    """Return the highest position that a majority received in this term."""
    received = sorted(
        (r.received for r in reports if r.term == term and r.received.term == term), reverse=True
    )
    if len(received) < majority:
        return Position()
    return received[majority - 1]


def _failed(view: GroupView, reachable: tuple[MemberView, ...]) -> str:
    primary = view.primary
    if primary is None:
        unsure = any(
            not m.reachable and m.missed_heartbeats < FAILED_AFTER_MISSES for m in view.members
        )
        return "" if unsure else "no member is primary"
    if not primary.reachable:
        return (
            "the primary does not answer"
            if primary.missed_heartbeats >= FAILED_AFTER_MISSES
            else ""
        )
    cut = [m for m in reachable if _cut_off(m, view.term)]
    if cut and len(view.members) - len(cut) < view.majority:
        return "the primary is cut off from its group"
    return ""


def _cut_off(view: MemberView, term: int) -> bool:
    progress = view.progress
    following = progress.role is Role.REPLICA and progress.term == term
    return following and progress.source_age > CUT_OFF_S


def _astray(view: GroupView, reachable: tuple[MemberView, ...]) -> tuple[str, ...]:
    primary = view.primary
    astray = [
        m.member.name
        for m in reachable
        if m is not primary
        and (m.progress.term < view.term or m.progress.source_age > CUT_OFF_S / 3)
    ]
    return tuple(astray)


def _may_hand_over(view: GroupView, reachable: tuple[MemberView, ...], now: float) -> bool:
    primary = view.primary
    if primary is None or not primary.member.leaving:
        return False
    if now - view.last_election < BACKOFF_FIRST_S:
        return False
    staying = [m for m in reachable if not m.member.leaving]
    return len(staying) > 0 and len(reachable) >= view.majority
