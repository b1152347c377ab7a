"""Decide what members in evacuated zones and cold members may still get, without I/O or a clock.

Times are readings of one monotonic clock, in seconds.
"""

from collections import deque
from dataclasses import dataclass

from wagtailloft.fleet.records import GroupRule, Target

# The host whose cache is behind learns of an evacuation late: 1.9 s until its cache counts as old
# because its zone's reader of the store failed, and a retry.
LATE_NOTICE_S = 3.0
TRANSACTION_LIMIT_S = 1.0  # for open transactions, after this host learned of the evacuation
# A watch of the store may miss changes for 1 s, and a statement is on its way to the member for up
# to 0.5 s on a busy network. Taken off the bound where it counts from the evacuation itself.
UNCERTAINTY_S = 1.5
# Until the store lists that a member of a zone became cold before the zone's evacuation ended.
RETURN_S = 3.0
PACE_WINDOW_S = 1.0  # in which the statements to a cold member are counted
# Two owners of a member's links may overlap for a while, and each paces for itself.
OWNER_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class _Evacuation:
    primary_until: float
    transactions_until: float


class Evacuations:
    """The evacuated zones as this host knows them.

    bound is the time within which the members of an evacuated zone have to be left alone; with 0,
    zones are never evacuated.
    """

    def __init__(self, *, bound: float) -> None:
        self._bound = bound
        self._zones: dict[str, _Evacuation] = {}
        self._ended_at: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Tell whether zones can be evacuated in this deployment."""
        return self._bound > 0

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the evacuated zones."""
        return tuple(self._zones)

    def begin(self, zone: str, *, at: float, absent_at: float) -> bool:
        """Evacuate a zone of which this host learned at a time; return whether that is new.

        The evacuation was not yet stored at absent_at. A process that starts has no such time, so
        it uses no member of the zone at all: the evacuation may be of any age.
        """
        if zone in self._zones or not self.is_enabled:
            return False
        latest = max(at, absent_at + self._bound - UNCERTAINTY_S)
        self._ended_at.pop(zone, None)
        self._zones[zone] = _Evacuation(
            primary_until=min(at + max(0.0, self._bound - LATE_NOTICE_S), latest),
            transactions_until=min(at + TRANSACTION_LIMIT_S, latest),
        )
        return True

    def end(self, zone: str, *, at: float) -> bool:
        """End the evacuation of a zone; return whether it was evacuated."""
        if self._zones.pop(zone, None) is None:
            return False
        self._ended_at[zone] = at
        return True

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether a zone is evacuated."""
        return zone in self._zones

    def primary_until(self, zone: str) -> float:
        """Return until when an evacuated zone's primary may get new work."""
        return self._zones[zone].primary_until

    def ended_lately(self, zone: str, *, at: float) -> bool:
        """Tell whether a zone's evacuation ended less than RETURN_S ago."""
        ended_at = self._ended_at.get(zone)
        return ended_at is not None and at < ended_at + RETURN_S

    def may_begin(self, target: Target, *, as_primary: bool, at: float) -> bool:
        """Tell whether new work may be sent to a member, as primary or as replica."""
        evacuation = self._zones.get(target.zone)
        return evacuation is None or (as_primary and at < evacuation.primary_until)

    def may_continue(self, target: Target, *, as_primary: bool, at: float) -> bool:
        """Tell whether open transactions at a member may go on."""
        if self.may_begin(target, as_primary=as_primary, at=at):
            return True
        return at < self._zones[target.zone].transactions_until

    def refuses_group(
        self, targets: tuple[Target, ...], primary: Target | None, *, at: float
    ) -> bool:
        """Tell whether waiting is in vain for what the chosen members of a group can't run.

        That is so if all members are in evacuated zones, or a primary is and its time is over.
        """
        if primary is not None and not self.may_begin(primary, as_primary=True, at=at):
            return True
        return self.has_no_member_left(targets)

    def has_no_member_left(self, targets: tuple[Target, ...]) -> bool:
        """Tell whether all members of a group are in evacuated zones."""
        return bool(targets) and all(t.zone in self._zones for t in targets)


class ColdPace:
    """Limit the statements that each cold member gets from this host in any window of a second.

    A member of a group with a cold_rate may get cold_rate * excess + slack statements from all
    hosts together, of which this one uses OWNER_SHARE.
    """

    def __init__(self, *, excess: float, slack: float) -> None:
        self._excess = excess
        self._slack = slack
        self._cold_until: dict[str, float] = {}
        self._sent: dict[str, deque[float]] = {}

    def observe(self, member: str, *, cold_left: float, at: float) -> None:
        """Note for how long a member has reported that it is cold; 0 if it is not, or has left."""
        if cold_left > 0:
            self._cold_until[member] = at + cold_left
        else:
            self._cold_until.pop(member, None)

    def is_cold(self, target: Target, rule: GroupRule, *, returned: bool, at: float) -> bool:
        """Tell whether a member's statements are limited; returned if its zone has just come back.

        A member in such a zone may have restarted without the store listing that yet.
        """
        if rule.cold_rate <= 0:
            return False
        return at < self._cold_until.get(target.name, at) or (returned and rule.cold_start > 0)

    def limit(self, rule: GroupRule) -> int:
        """Return how many statements a cold member gets from this host in a window, at least 1."""
        return max(1, int((rule.cold_rate * self._excess + self._slack) * OWNER_SHARE))

    def wait(self, member: str, rule: GroupRule, *, at: float) -> float:
        """Return the seconds until a cold member may get one more statement."""
        sent = self._sent.get(member, ())
        if len(sent) < self.limit(rule):
            return 0.0
        return max(0.0, sent[-self.limit(rule)] + PACE_WINDOW_S - at)

    def reserve(self, member: str, rule: GroupRule, *, at: float, max_wait: float) -> float | None:
        """Return after how many seconds to send one more statement, and count it as sent then.

        Return None, and count nothing, if that is more than max_wait.
        """
        wait = self.wait(member, rule, at=at)
        if wait > max_wait:
            return None
        sent = self._sent.setdefault(member, deque())
        sent.append(at + wait)
        while len(sent) > self.limit(rule):
            sent.popleft()
        return wait

    def forget(self, member: str, *, at: float) -> None:
        """Drop what is known of a member that has left.

        What it got in the last window still counts, since its entry may be back at once.
        """
        self._cold_until.pop(member, None)
        self._sent = {n: s for n, s in self._sent.items() if at < s[-1] + PACE_WINDOW_S}
