"""Blackboard entries that describe a group and its members as one group owner observes them."""

from wagtailloft.models import Group, Member, Position, Progress, Record, Role

NEVER = float("-inf")


class MemberView(Record):
    """Describe one member as the owner last observed it.

    `last_seen` is the monotonic time of the last report; `missed_heartbeats` counts the
    heartbeats in a row that were not answered.
    """

    member: Member
    progress: Progress | None = None
    last_seen: float = NEVER
    missed_heartbeats: int = 0

    @property
    def reachable(self) -> bool:
        """Tell whether the last heartbeat was answered."""
        return self.progress is not None and self.missed_heartbeats == 0


class TimedPosition(Record):
    """Pair a log position with a monotonic time in seconds; see GroupView."""

    time: float
    position: Position


class GroupView(Record):
    """Describe one group as its owner last observed it.

    Both sequences are ordered by time. An entry of `samples` is a position that the primary had
    applied, and a time at which a majority was still in its term: the position holds every write
    acknowledged until then. An entry of `commits` is the position of a write, and the time at which
    the owner learned that the primary had committed it.
    """

    group: Group
    members: tuple[MemberView, ...]
    samples: tuple[TimedPosition, ...] = ()
    commits: tuple[TimedPosition, ...] = ()
    last_election: float = NEVER
    elections: int = 0

    @property
    def majority(self) -> int:
        """Return how many members make a majority."""
        return self.group.majority

    @property
    def term(self) -> int:
        """Return the highest term that any member reported."""
        return max((m.progress.term for m in self.members if m.progress), default=0)

    @property
    def primary(self) -> MemberView | None:
        """Return the member that is primary in the highest term, or None."""
        term = self.term
        for view in self.members:
            progress = view.progress
            if progress and progress.role is Role.PRIMARY and progress.term == term:
                return view
        return None

    def reachable(self) -> tuple[MemberView, ...]:
        """Return the members that answered their last heartbeat."""
        return tuple(m for m in self.members if m.reachable)
