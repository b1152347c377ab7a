"""A host's cache of one topic of the store: its revision never decreases, and its age is known."""

from wagtailloft.fleet.records import Changes, Entry, Topic
from wagtailloft.revisions import era_of

NEVER = float("-inf")
# Removals kept for hosts that have an older cache; those that miss one get a snapshot.
MAX_REMOVALS = 1000
MAX_GAPS = 16  # each follows a loss of the store's history


class TopicCache:
    """Cache the entries of one topic, with their revision and the time of the last confirmation."""

    def __init__(self, *, topic: Topic) -> None:
        self.topic = topic
        self.revision = 0
        self.confirmed_at = NEVER
        self._entries: dict[str, Entry] = {}
        self._removals_since = 0  # of removals up to this revision, some are not in _entries
        # Pairs of revisions between which objects came and went that were never cached here.
        self._gaps: list[tuple[int, int]] = []

    def get(self, name: str) -> Entry | None:
        """Return an entry, None if it does not exist, was removed or can't be read."""
        entry = self._entries.get(name)
        return entry if entry and entry.value is not None else None

    def stored_revision(self, name: str) -> int | None:
        """Return the revision of an object, readable or not; None if it does not exist."""
        entry = self._entries.get(name)
        return entry.revision if entry and entry.exists else None

    def apply(self, changes: Changes, confirmed_at: float) -> list[Entry]:
        """Apply changes that were current at a time; return the entries that changed.

        Changes up to an older revision than the cached one are ignored: they neither change the
        cache nor renew its age.
        """
        if changes.revision < self.revision:
            return []
        entries = list(changes.entries)
        if changes.is_snapshot:
            self._add_gap(self.revision, changes.revision)
            entries += self._removals(changes)
        newer = [e for e in entries if self._is_newer(e)]
        for entry in newer:
            self._entries[entry.name] = entry
        self.revision = changes.revision
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._drop_old_removals()
        return newer

    def put_entry(self, entry: Entry) -> bool:
        """Store one entry if it is newer than the cached one; return whether it was.

        The topic's revision and age stay, since other entries may have changed before this one.
        An entry of another era than the topic's is ignored: the topic is then read as a whole.
        """
        if self.revision and era_of(entry.revision) != era_of(self.revision):
            return False
        if not self._is_newer(entry):
            return False
        self._entries[entry.name] = entry
        return True

    def since(self, revision: int) -> Changes:
        """Return the changes after a revision, or a snapshot if not all removals are known.

        Changes since another era are always a snapshot: that era's content may differ anywhere.
        """
        is_snapshot = (
            revision == 0
            or era_of(revision) != era_of(self.revision)
            or revision < self._removals_since
            or any(first < revision < last for first, last in self._gaps)
        )
        entries = tuple(
            e
            for e in self._entries.values()
            if (e.exists if is_snapshot else e.revision > revision)
        )
        return Changes(
            topic=self.topic, revision=self.revision, is_snapshot=is_snapshot, entries=entries
        )

    def age(self, now: float) -> float:
        """Return the seconds since the cache was last known to be current."""
        return now - self.confirmed_at

    def _removals(self, changes: Changes) -> list[Entry]:
        """Return removals of the entries that a snapshot lacks, except those newer than it."""
        present = {e.name for e in changes.entries}
        removed = [
            e
            for n, e in self._entries.items()
            if n not in present and e.exists and e.revision <= changes.revision
        ]
        return [Entry(name=e.name, revision=changes.revision) for e in removed]

    def _add_gap(self, first: int, last: int) -> None:
        self._gaps.append((first, last))
        if len(self._gaps) > MAX_GAPS:
            self._removals_since = max(self._removals_since, self._gaps.pop(0)[1])

    def _drop_old_removals(self) -> None:
        removals = [e for e in self._entries.values() if not e.exists]
        if len(removals) <= MAX_REMOVALS:
            return
        removals.sort(key=lambda e: e.revision)
        for entry in removals[: -MAX_REMOVALS // 2]:
            del self._entries[entry.name]
            self._removals_since = max(self._removals_since, entry.revision)

    def _is_newer(self, entry: Entry) -> bool:
        known = self._entries.get(entry.name)
        return known is None or entry.revision > known.revision
