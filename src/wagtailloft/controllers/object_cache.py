"""Cache the platform's objects at a revision that never decreases."""

import threading
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from wagtailloft import clock
from wagtailloft.controllers.freshness import SETTINGS_MAX_AGE_S
from wagtailloft.eras import (
    ERA_KIND,
    EraMarks,
    is_first,
    is_settled,
    read_marks,
    same_content,
)
from wagtailloft.models import Change, Record
from wagtailloft.revisions import NO_ERA, era_of, make_revision, number_of

HISTORY_LENGTH = 20_000  # changes
MAX_REMOVALS = 1000  # remembered; an older copy may have the latest of the removed objects

ChangeListener = Callable[[Change], None]


class Delta(Record):
    """Describe the changes that lead to a revision.

    If `whole` is set, `changes` lists every object that exists at the revision, and a receiver
    removes all others. Otherwise they follow the revision that the receiver asked from.
    """

    revision: int
    changes: tuple[Change, ...]
    whole: bool = False


@dataclass(frozen=True, kw_only=True)
class Forgotten:
    """A change that the store has lost; revision is what a conditional write must require."""

    change: Change
    revision: int


class ObjectCache:
    """Cache the platform's objects as of one revision, with a history of recent changes.

    When the store comes back from an older copy, the objects and removals that the copy lacks, or
    may lack, stay in force here until they are written again. If the era is settled without them,
    those stay whose older version the store still has: this host was away and alone knows the later
    one. Those that the store lacks stay if this host has met the era before, not long ago, and has
    seen every change since: then none of them was removed.
    """

    def __init__(self, *, on_new_era: Callable[[int], None] = lambda era: None) -> None:
        self._lock = threading.RLock()
        self._items: dict[str, dict[str, Change]] = defaultdict(dict)
        self._history: deque[Change] = deque(maxlen=HISTORY_LENGTH)
        self._oldest_revision = 0  # the history holds every change after it
        self._listeners: dict[str, list[ChangeListener]] = defaultdict(list)
        self._on_new_era = on_new_era
        self._marks = EraMarks()
        self._first_era = NO_ERA
        self._copied_at_least = 0
        self._era_met_at = 0.0
        # Kept by kind and name; their revisions are those of EraMarks.written_at().
        self._kept: dict[tuple[str, str], Change] = {}
        self._removals: dict[tuple[str, str], Change] = {}
        self.revision = 0
        self.was_complete = False

    def get(self, kind: str, name: str) -> Change | None:
        """Return an object, or None if it doesn't exist."""
        kept = self._kept.get((kind, name))
        if kept is not None:
            return None if kept.removed else kept
        return self._items[kind].get(name)

    def all(self, kind: str) -> tuple[Change, ...]:
        """Return all objects of a kind."""
        with self._lock:
            items = dict(self._items[kind])
            for (kept_kind, name), change in self._kept.items():
                if kept_kind == kind:
                    items[name] = change
            return tuple(c for c in items.values() if not c.removed)

    def watch(self, kind: str, listener: ChangeListener) -> None:
        """Call a function after each change to an object of a kind."""
        self._listeners[kind].append(listener)

    def is_complete(self) -> bool:
        """Tell whether the store, as cached, lacks nothing that was ever written to it."""
        with self._lock:
            return self.revision > 0 and is_settled(self._marks, self.revision, self._first_era)

    def is_first_era(self) -> bool:
        """Tell whether nothing shows that the store was ever restored."""
        with self._lock:
            return is_first(self._marks, self.revision, self._first_era)

    def forgotten(self) -> tuple[Forgotten, ...]:
        """Return the changes that are in force here and have to be written again."""
        with self._lock:
            none_yet = make_revision(era_of(self.revision), 0)
            lost = [c for c in self._kept.values() if self._is_lost(c)]
            stored = [self._items[c.kind].get(c.name) for c in lost]
            return tuple(
                Forgotten(change=c, revision=s.revision if s else none_yet)
                for c, s in zip(lost, stored, strict=True)
            )

    def adopt(self, changes: Iterable[Change], revision: int) -> bool:
        """Keep in force what another host, at a revision, knows the store to have lost.

        Return whether any of it was new. In a settled era nothing is adopted: what the store lacks
        may have been removed since.
        """
        with self._lock:
            if era_of(revision) != era_of(self.revision) or self.is_complete():
                return False
            before = self._in_force()
            adopted = [c for c in changes if self._is_later(c) and self._may_precede(c)]
            self._kept |= {(c.kind, c.name): c for c in adopted}
            changed = self._changes_from(before)
        self._notify(changed)
        return bool(adopted)

    def apply(self, delta: Delta) -> bool:
        """Apply the changes up to a revision; return False if the revision is not newer."""
        with self._lock:
            era, known_era = era_of(delta.revision), era_of(self.revision)
            if delta.revision <= self.revision:
                return False
            is_new_era = self.revision > 0 and era != known_era
            if is_new_era and not delta.whole:
                return False
            if self.revision == 0:
                self._first_era = era
            if era != known_era:
                self._era_met_at = clock.now()
            changed = self._apply_whole(delta) if delta.whole else self._apply_changes(delta)
            if self.is_complete():
                self.was_complete = True
                is_late = clock.now() - self._era_met_at > SETTINGS_MAX_AGE_S
                changed += self._drop_absent(may_be_removed=delta.whole or is_late)
        if is_new_era:
            self._on_new_era(era)
        self._notify(changed)
        return True

    def changes_since(self, revision: int) -> Delta:
        """Return the changes after a revision, or all objects if the history is too short."""
        with self._lock:
            same_era = era_of(revision) == era_of(self.revision)
            if revision >= self._oldest_revision and same_era:
                changes = tuple(c for c in self._history if c.revision > revision)
                return Delta(revision=self.revision, changes=changes)
            items = tuple(c for kind in self._items.values() for c in kind.values())
            return Delta(revision=self.revision, changes=items, whole=True)

    def _notify(self, changed: list[Change]) -> None:
        for change in changed:
            for listener in self._listeners[change.kind]:
                listener(change)

    def _apply_changes(self, delta: Delta) -> list[Change]:
        newer = [c for c in delta.changes if c.revision > self.revision]
        # First, since the marks tell in which era the other changes were written.
        for mark in (c for c in newer if c.kind == ERA_KIND):
            self._put(mark)
        self._set_revision(delta.revision)
        in_force = []
        for change in newer:
            key = (change.kind, change.name)
            known = self._version_in_force(key)
            self._kept.pop(key, None)
            self._put(change)
            if known is not None and self._is_outdated(change, known):
                # A version was written again, or a write done late, that is known to be outdated.
                self._kept[key] = known
            else:
                in_force.append(change)
        self._add_to_history(newer)
        return in_force

    def _apply_whole(self, delta: Delta) -> list[Change]:
        before = self._in_force()
        candidates = self._versions_in_force() if before else {}
        is_new_era = era_of(delta.revision) != era_of(self.revision)
        self._items.clear()
        for change in delta.changes:
            if not change.removed:
                self._items[change.kind][change.name] = change
        self._history.clear()
        self._oldest_revision = delta.revision
        self._set_revision(delta.revision)
        if is_new_era:
            self._copied_at_least = self._least_copied()
        for key, change in candidates.items():
            is_stored = key[1] in self._items[key[0]]
            may_be_lost = is_new_era or key in self._kept or is_stored
            if may_be_lost and self._may_precede(change):
                self._kept[key] = change
            else:
                self._kept.pop(key, None)
        return self._changes_from(before)

    def _least_copied(self) -> int:
        """Return a number up to which the store has all of the copy that the new era began with.

        The copy may reach up to the start mark, but writes for the earlier era may precede it.
        """
        start = self._era_start()
        if start is None:
            return number_of(self.revision)
        numbers = (number_of(c.revision) for kind in self._items.values() for c in kind.values())
        return max((n for n in numbers if n < start), default=0)

    def _era_start(self) -> int | None:
        starts = (number for era, number in self._marks.starts if era == era_of(self.revision))
        return next(starts, None)

    def _set_revision(self, revision: int) -> None:
        self.revision = revision
        self._marks = read_marks(self._items[ERA_KIND].values())

    def _in_force(self) -> dict[tuple[str, str], Change]:
        in_force = {(c.kind, c.name): c for kind in self._items.values() for c in kind.values()}
        in_force |= self._kept
        return {key: c for key, c in in_force.items() if not c.removed}

    def _version_in_force(self, key: tuple[str, str]) -> Change | None:
        """Return what this host knows of an object, with the revision of its write."""
        known = self._kept.get(key) or self._removals.get(key)
        stored = self._items[key[0]].get(key[1])
        if known is not None or stored is None:
            return known
        return self._with_written_at(stored)

    def _versions_in_force(self) -> dict[tuple[str, str], Change]:
        """Return what this host knows of each object, with the revision of its write."""
        versions = dict(self._removals)
        for kind, items in self._items.items():
            for name, change in items.items():
                if kind != ERA_KIND:
                    versions[(kind, name)] = self._with_written_at(change)
        return versions | self._kept

    def _with_written_at(self, change: Change) -> Change:
        return msgspec.structs.replace(change, revision=self._marks.written_at(change))

    def _may_precede(self, change: Change) -> bool:
        """Tell whether the store's state may precede a version that was in force."""
        stored = self._items[change.kind].get(change.name)
        if stored is not None or change.removed:
            return self._is_lost(change)
        return not self._marks.includes(change.revision, self._copied_at_least)

    def _is_later(self, change: Change) -> bool:
        """Tell whether this host knows no version as late as this one."""
        known = self._version_in_force((change.kind, change.name))
        return known is None or known.revision < change.revision

    def _is_lost(self, change: Change) -> bool:
        """Tell whether the store's state precedes a version that was in force."""
        stored = self._items[change.kind].get(change.name)
        if stored is not None:
            return self._is_outdated(stored, change)
        if change.removed:
            return False
        start = self._era_start()
        copied_up_to = number_of(self.revision) if start is None else start - 1
        return not self._marks.includes(change.revision, copied_up_to)

    def _is_outdated(self, stored: Change, known: Change) -> bool:
        """Tell whether a version of the store precedes a known one.

        A number was given out again if it stands for other contents: by a late write, before the
        era had its start mark.
        """
        written_at = self._marks.written_at(stored)
        if written_at == known.revision:
            return not same_content(stored, known)
        return written_at < known.revision

    def _drop_absent(self, *, may_be_removed: bool) -> list[Change]:
        """Drop the kept objects that the settled store lacks; return the changes in force.

        Those that it has lost are kept unless they may have been removed since.
        """
        absent = [
            key
            for key, change in self._kept.items()
            if self._items[key[0]].get(key[1]) is None
            and (may_be_removed or not self._is_lost(change))
        ]
        if not absent:
            return []
        before = self._in_force()
        for key in absent:
            del self._kept[key]
        return self._changes_from(before)

    def _changes_from(self, before: dict[tuple[str, str], Change]) -> list[Change]:
        """Return what differs from an earlier state in force, and remember the removals."""
        after = self._in_force()
        changed = [c for k, c in after.items() if k not in before or before[k].value != c.value]
        for kind, name in before.keys() - after.keys():
            removal = Change(kind=kind, name=name, revision=self.revision)
            self._remember_removal(removal)
            changed.append(removal)
        return changed

    def _put(self, change: Change) -> None:
        if change.removed:
            self._items[change.kind].pop(change.name, None)
            self._remember_removal(change)
        else:
            self._items[change.kind][change.name] = change
            self._removals.pop((change.kind, change.name), None)

    def _remember_removal(self, removal: Change) -> None:
        self._removals[(removal.kind, removal.name)] = removal
        if len(self._removals) > MAX_REMOVALS:
            del self._removals[next(iter(self._removals))]

    def _add_to_history(self, changes: list[Change]) -> None:
        for change in changes:
            if len(self._history) == HISTORY_LENGTH:
                self._oldest_revision = self._history[0].revision
            self._history.append(change)
