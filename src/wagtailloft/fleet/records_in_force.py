"""The records that a host acts on: the store's, except those that a restored store has forgotten.

Configurations, members' reports and primary assignments carry an order of their own, which holds
across the eras of the store: an older record never replaces a later one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
import xxhash

from wagtailloft import logs
from wagtailloft.fleet.records import Configuration, Entry, PrimaryAssignment, Target, Topic
from wagtailloft.fleet.store_era import REWRITE_S, StoreEra
from wagtailloft.revisions import era_of, number_of

MAX_LEFT_TARGETS = 1000  # remembered after they left; an older copy may list the latest of them


@dataclass(frozen=True, kw_only=True)
class _KnownTarget:
    revision: int
    report: Target
    is_listed: bool = True


class RecordsInForce:
    """Decide which entries of the store replace what this host acts on, and report the changes."""

    def __init__(
        self,
        *,
        era: StoreEra,
        notify: Callable[[Topic, Entry], None],
        is_stored: Callable[[Topic, str], bool],
    ) -> None:
        self.configuration: Configuration | None = None
        self.assignments: dict[str, PrimaryAssignment] = {}
        self.assignments_digest = _digest({})
        self._era = era
        self._notify = notify
        self._is_stored = is_stored
        self._configuration_revision = 0
        self._targets: dict[str, _KnownTarget] = {}
        self._left_targets: dict[str, None] = {}
        self._missing: dict[tuple[Topic, str], Entry] = {}
        self._missing_timer: asyncio.TimerHandle | None = None

    def accept(self, topic: Topic, entry: Entry) -> None:
        """Put an entry of the store in force, unless it is older than what is in force."""
        value = entry.value
        if isinstance(value, PrimaryAssignment):
            self.accept_assignment(value)
        elif isinstance(value, Configuration):
            self.accept_configuration(value, entry)
        elif topic is Topic.TARGETS:
            self._accept_target(entry)
        else:
            self._notify(topic, entry)

    def accept_missing(self, topic: Topic, entry: Entry) -> None:
        """Put a removal in force that a new era's first snapshot implies.

        While those that wrote the records may still be writing them again, it is put off.
        """
        if self._era.records_are_back():
            self.accept(topic, entry)
            return
        self._missing[(topic, entry.name)] = entry
        if self._missing_timer is None:
            self._wait_for_records()

    def accept_configuration(self, value: Configuration, entry: Entry | None = None) -> bool:
        """Put a configuration in force if its version is higher; return whether it was.

        entry is the store's, None if another host passed the configuration on.
        """
        known = self.configuration
        if entry is not None:
            self._observe_rewrite(value, entry)
        if known is not None and value.version <= known.version:
            if value.version < known.version:
                logs.event("configuration_outdated", version=value.version, known=known.version)
            return False
        self.configuration = value
        if entry is None:
            self._configuration_revision = 0
            entry = Entry(name="", revision=0, value=value)
        self._notify(Topic.SETTINGS, entry)
        return True

    def accept_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Put an assignment in force if it is later than the known one; return whether it was."""
        known = self.assignments.get(assignment.group)
        if known and known.sort_key >= assignment.sort_key:
            return False
        self.assignments[assignment.group] = assignment
        self.assignments_digest = _digest(self.assignments)
        logs.event(
            "assignment_changed",
            group=assignment.group,
            epoch=assignment.epoch,
            settled=assignment.settled,
            primary=assignment.primary,
            term=assignment.term,
            replaced=assignment.replaced,
            store_era=assignment.era,
        )
        self._notify(Topic.FLEET, Entry(name=assignment.group, revision=0, value=assignment))
        return True

    def _observe_rewrite(self, value: Configuration, entry: Entry) -> None:
        """Notice that the operator has written the configuration in the store's present era.

        That is so if it changes within the era, or if a known version has another number than it
        had in an earlier era: a copy keeps the numbers.
        """
        before, after = self._configuration_revision, entry.revision
        self._configuration_revision = after
        known = self.configuration.version if self.configuration else value.version
        if not before or era_of(after) != self._era.era or value.version < known:
            return
        is_known = value.version == known
        if era_of(before) == era_of(after) or (is_known and number_of(before) != number_of(after)):
            self._era.observe_settings_rewritten()

    def _accept_target(self, entry: Entry) -> None:
        known, report = self._targets.get(entry.name), entry.value
        if not isinstance(report, Target):
            if known is not None:
                self._remember_left(entry, known)
            self._notify(Topic.TARGETS, entry)
            return
        if known is not None and era_of(entry.revision) > era_of(known.revision):
            is_same = known.is_listed and report.sort_key == known.report.sort_key
            if report.sort_key <= known.report.sort_key and not is_same:
                logs.event("target_outdated", target=entry.name, revision=entry.revision)
                return
        self._targets[entry.name] = _KnownTarget(revision=entry.revision, report=report)
        self._left_targets.pop(entry.name, None)
        self._notify(Topic.TARGETS, entry)

    def _remember_left(self, entry: Entry, known: _KnownTarget) -> None:
        self._targets[entry.name] = replace(known, revision=entry.revision, is_listed=False)
        self._left_targets[entry.name] = None
        if len(self._left_targets) > MAX_LEFT_TARGETS:
            oldest = next(iter(self._left_targets))
            del self._left_targets[oldest], self._targets[oldest]

    def _wait_for_records(self) -> None:
        delay = max(0.0, REWRITE_S - self._era.age())
        loop = asyncio.get_running_loop()
        self._missing_timer = loop.call_later(delay, self._accept_still_missing)

    def _accept_still_missing(self) -> None:
        """Put the removals in force whose objects were not written again."""
        self._missing_timer = None
        if not self._era.records_are_back():
            self._wait_for_records()
            return
        missing, self._missing = self._missing, {}
        for (topic, name), entry in missing.items():
            if not self._is_stored(topic, name):
                self.accept(topic, entry)


def _digest(assignments: dict[str, PrimaryAssignment]) -> int:
    """Return a digest by which two hosts find out whether they know the same assignments."""
    states = sorted((a.group, a.era, a.epoch, a.settled) for a in assignments.values())
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(states))
