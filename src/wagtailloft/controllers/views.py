"""Board entries that describe groups and members as one owner sees them."""

from wagtailloft.models import Group, Member, Position, Progress, Record, Role

NEVER = float("-inf")


class MemberView(Record):
    """Hold what the owner knows of one member."""

    member: Member
    progress: Progress | None = None
    last_seen: float = NEVER
    missed_heartbeats: int = 0

    @property
    def reachable(self) -> bool:
        """Tell whether the last heartbeat was answered."""
        return self.progress is not None and self.missed_heartbeats == 0


class TimedPosition(Record):
    """Hold a position and a time: confirmed by a majority in samples, seen committed in commits."""

    time: float
    position: Position


class GroupView(Record):
    """Hold what the owner knows of one group."""

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
        """Return the member that leads the highest term, if one does."""
        term = self.term
        for view in self.members:
            progress = view.progress
            if progress and progress.role is Role.PRIMARY and progress.term == term:
                return view
        return None

    def reachable(self) -> tuple[MemberView, ...]:
        """Return the members that answered their last heartbeat."""
        return tuple(m for m in self.members if m.reachable)
