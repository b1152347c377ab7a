"""This host's view of each group: members, primary, and recent log positions."""

import math

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.records import (
    Entry,
    GroupRule,
    PrimaryAssignment,
    Target,
    Topic,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Role

# Until a host that reaches the store hears that a member is leaving, also if a watch misses it.
LEAVING_NOTICE_S = 1.5
FIRST_SNAPSHOT_S = 3.0  # until a process that starts has read what was stored before
ENTRY_RETURN_S = 2.2  # entries of members that live are back within 2 s


class GroupDirectory:
    """Look up the members of a group, its primary and its rule."""

    def __init__(self, *, cache: StoreCache, member_drain: float = math.inf) -> None:
        """Take the seconds for which a member goes on after it has reported that it is leaving."""
        self.cache = cache
        self._leaving_use_limit = member_drain - LEAVING_NOTICE_S
        self._leaving_since: dict[str, float] = {}  # by member
        self._targets: dict[str, dict[str, Target]] = {}
        self._samples: dict[str, PositionSamples] = {}
        self._revisions: dict[str, int] = {}
        self._unlisted_at: dict[str, dict[str, float]] = {}  # by group and member
        self._first_listed_at = math.inf
        self._listed_at: dict[str, float] = {}  # of members that came after the first snapshot
        self._promoted_at: dict[str, tuple[str, float]] = {}  # primary and time, by group
        cache.on_change(Topic.TARGETS, self._handle_target_change)
        cache.on_change(Topic.FLEET, self._handle_assignment)

    def target(self, group: str, name: str) -> Target | None:
        """Return a member of a group, or None if it is not listed."""
        return self._targets.get(group, {}).get(name)

    def targets(self, group: str) -> tuple[Target, ...]:
        """Return the listed members of a group."""
        return tuple(self._targets.get(group, {}).values())

    def other_targets(self, group: str, excluded: str) -> tuple[Target, ...]:
        """Return the listed members of a group except one."""
        return tuple(t for t in self.targets(group) if t.name != excluded)

    def lately_unlisted(self, group: str) -> tuple[str, ...]:
        """Return the members whose entries vanished within ENTRY_RETURN_S, and did not return.

        One that reported that it is leaving is not among them.
        """
        since = now() - ENTRY_RETURN_S
        recent = {n: at for n, at in self._unlisted_at.get(group, {}).items() if at >= since}
        self._unlisted_at[group] = recent
        return tuple(recent)

    def listed_for(self, name: str) -> float:
        """Return for how many seconds a member has been listed, infinite if since the beginning."""
        return now() - self._listed_at.get(name, -math.inf)

    def promoted_at(self, group: str, name: str) -> float:
        """Return when this process saw a member become primary, minus infinity if it did not."""
        primary, at = self._promoted_at.get(group, ("", -math.inf))
        return at if primary == name else -math.inf

    def groups(self) -> tuple[str, ...]:
        """Return the groups that have members."""
        return tuple(g for g, members in self._targets.items() if members)

    def samples(self, group: str) -> PositionSamples:
        """Return the position samples of a group."""
        return self._samples.setdefault(group, PositionSamples())

    def rule(self, group: str) -> GroupRule:
        """Return a group's configured limits, or the defaults if it has none."""
        configuration = self.cache.configuration()
        rules = configuration.groups if configuration else ()
        return next((r for r in rules if r.name == group), GroupRule(name=group))

    def primary(self, group: str) -> Target | None:
        """Return a group's primary, or None while a failover is in progress or none is listed."""
        assignment = self.cache.assignment(group)
        members = self._targets.get(group, {})
        if assignment is None:
            return self._reported_primary(members)
        if not assignment.settled or self._is_contradicted(assignment, members):
            return None
        return members.get(assignment.primary)

    def may_use_as_primary(self, group: str, target: str) -> bool:
        """Tell whether this host may use a target as primary now."""
        if not self.cache.assignments_valid() or not self.cache.is_registered():
            return False
        primary = self.primary(group)
        return primary is not None and primary.name == target

    def accepts_new_work(self, target: Target) -> bool:
        """Tell whether statements and transactions may begin at a target.

        One that is leaving may exit at any time once its time is over, replaced or not.
        """
        since = self._leaving_since.get(target.name)
        return since is None or now() < since + self._leaving_use_limit

    def basis(self, group: str) -> tuple[PrimaryAssignment | None, int]:
        """Return what the use of a group's primary rests on: the assignment, the store's era."""
        return self.cache.assignment(group), self.cache.era.era

    def was_primary_throughout(
        self, group: str, target: str, basis: tuple[PrimaryAssignment | None, int] | None
    ) -> bool:
        """Tell whether no other member can have been promoted since a target was used on a basis.

        Its entry may have vanished meanwhile, which by itself replaces nobody.
        """
        if self.may_use_as_primary(group, target):
            return True
        if self.target(group, target) is not None or basis != self.basis(group):
            return False
        if any(t.role is Role.PRIMARY for t in self.targets(group)):
            return False
        return self.cache.assignments_valid() and self.cache.is_registered()

    def assignment_or_initial(self, group: str) -> PrimaryAssignment:
        """Return a group's primary assignment, or one of epoch 0 from reported roles."""
        assignment = self.cache.assignment(group)
        if assignment is not None:
            return assignment
        primary = self._reported_primary(self._targets.get(group, {}))
        name = primary.name if primary else ""
        return PrimaryAssignment(group=group, epoch=0, settled=True, primary=name)

    def _reported_primary(self, members: dict[str, Target]) -> Target | None:
        primaries = [t for t in members.values() if t.role is Role.PRIMARY]
        return max(primaries, key=lambda t: self._revisions.get(t.name, 0), default=None)

    def _is_contradicted(self, assignment: PrimaryAssignment, members: dict[str, Target]) -> bool:
        """Tell whether the members report another primary than an earlier era's assignment names.

        The store may have lost a later assignment that no host remembers.
        """
        assigned = members.get(assignment.primary)
        if assignment.era >= self.cache.era.era or assigned is None:
            return False
        others = (m for m in members.values() if m.name != assigned.name)
        return assigned.role is Role.REPLICA and any(m.role is Role.PRIMARY for m in others)

    def _handle_assignment(self, entry: Entry) -> None:
        assignment = entry.value
        if not isinstance(assignment, PrimaryAssignment) or not assignment.settled:
            return
        known, _ = self._promoted_at.get(assignment.group, ("", 0.0))
        if known != assignment.primary:
            at = now() if self._knew_members() else -math.inf
            self._promoted_at[assignment.group] = (assignment.primary, at)

    def _knew_members(self) -> bool:
        """Tell whether a change is new, and not one that a process finds when it starts."""
        return now() - self._first_listed_at > FIRST_SNAPSHOT_S

    def _handle_target_change(self, entry: Entry) -> None:
        self._revisions[entry.name] = entry.revision
        was_known = any(entry.name in members for members in self._targets.values())
        for group, members in self._targets.items():
            removed = members.pop(entry.name, None)
            if removed is not None and not removed.leaving:
                self.lately_unlisted(group)  # drops those of long ago
                self._unlisted_at.setdefault(group, {})[entry.name] = now()
        self._follow_leaving(entry, was_known=was_known)
        target = entry.value
        if not isinstance(target, Target):
            self._listed_at.pop(entry.name, None)
            logs.event("target_removed", target=entry.name, revision=entry.revision)
            return
        target = msgspec.structs.replace(target, name=entry.name)
        self._first_listed_at = min(self._first_listed_at, now())
        if not was_known and self._knew_members():
            self._listed_at[entry.name] = now()
        self._targets.setdefault(target.group, {})[entry.name] = target
        self._unlisted_at.get(target.group, {}).pop(entry.name, None)
        logs.event(
            "target_listed",
            target=entry.name,
            group=target.group,
            role=target.role.value if target.role else "",
            leaving=target.leaving,
            zone=target.zone,
            at=round(now(), 3),
        )

    def _follow_leaving(self, entry: Entry, *, was_known: bool) -> None:
        """Note since when a member has been leaving.

        If this process never saw it staying, it has used up half of its time.
        """
        if not isinstance(entry.value, Target) or not entry.value.leaving:
            self._leaving_since.pop(entry.name, None)
            return
        passed = 0.0 if was_known else self._leaving_use_limit / 2
        self._leaving_since.setdefault(entry.name, now() - passed)
