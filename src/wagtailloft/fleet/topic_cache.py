"""Copies of the store: they only move forward, and know when they were surely current."""

import msgspec

from wagtailloft.fleet.records import Changes, Entry, Topic

NEVER = float("-inf")


class TopicCache:
    """Keep one topic of the store."""

    def __init__(self, *, topic: Topic) -> None:
        self.topic = topic
        self.revision = 0
        self.confirmed_at = NEVER
        self._entries: dict[str, Entry] = {}

    def get(self, name: str) -> Entry | None:
        """Return an entry that was not removed."""
        entry = self._entries.get(name)
        return entry if entry and entry.value is not None else None

    def apply(self, changes: Changes, confirmed: float) -> list[Entry]:
        """Take changes that were current at a time; return the entries that are new here.

        News of an older revision is dropped: it neither changes the copy nor confirms it.
        """
        if changes.revision < self.revision:
            return []
        entries = list(changes.entries)
        if changes.is_snapshot:
            entries += self._missing(changes)
        fresh = [e for e in entries if self._is_new(e)]
        for entry in fresh:
            self._entries[entry.name] = entry
        self.revision = changes.revision
        self.confirmed_at = max(self.confirmed_at, confirmed)
        return fresh

    def put_entry(self, entry: Entry) -> bool:
        """Take one entry without learning about others; return whether it is new here."""
        if not self._is_new(entry):
            return False
        self._entries[entry.name] = entry
        return True

    def since(self, at: int) -> Changes:
        """Return what changed after a revision; all that exists for revision 0."""
        entries = tuple(e for e in self._entries.values() if at == 0 or e.revision > at)
        return Changes(
            topic=self.topic, revision=self.revision, is_snapshot=at == 0, entries=entries
        )

    def age(self, now: float) -> float:
        """Return the seconds since the copy was surely current."""
        return now - self.confirmed_at

    def _missing(self, changes: Changes) -> list[Entry]:
        listed = {e.name for e in changes.entries}
        gone = [
            e
            for n, e in self._entries.items()
            if n not in listed and e.value is not None and e.revision <= changes.revision
        ]
        return [msgspec.structs.replace(e, revision=changes.revision, value=None) for e in gone]

    def _is_new(self, entry: Entry) -> bool:
        known = self._entries.get(entry.name)
        return known is None or entry.revision > known.revision
