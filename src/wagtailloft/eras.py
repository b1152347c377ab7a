"""The marks that the fleet leaves in each era of the platform's store.

The first write of an era is its start mark. Objects with a lower number come from the copy, those
with a higher one were written in the era, so a host can tell which of two versions is later. A
write for an earlier era may be done before the mark, which its host then corrects. The settled mark
is written once everything that the copy lacks has been written again. An object that is written
again names the revision of its version, since the host that writes it may have missed a later one.
Every value names the era for which it was sent, since a write without a response may be done in a
later one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wagtailloft import logs
from wagtailloft.models import Change, EraMark, Record
from wagtailloft.ranges import Count, Era
from wagtailloft.revisions import FIRST_ERA, NO_ERA, era_of, make_revision, number_of

ERA_KIND = "era"
SETTLED = "settled"  # name of the settled mark; a start mark's name is the era
ORIGIN_FIELD = "rewritten_from"
ERA_FIELD = "written_in"


@dataclass(frozen=True, kw_only=True)
class EraMarks:
    """The marks that a state of the store holds; starts has pairs of era and number."""

    starts: tuple[tuple[int, int], ...] = ()
    settled: int = NO_ERA

    def written_at(self, change: Change) -> int:
        """Return the revision of an object's version in the era in which it was first written.

        A write that was done after its era precedes every version that its era had.
        """
        revision = self._written_at(change.revision)
        origin = _read_origin(change)
        if origin.rewritten_from:
            return origin.rewritten_from
        if NO_ERA < origin.written_in < era_of(revision):
            return make_revision(origin.written_in, 0)
        return revision

    def includes(self, written_at: int, number: int) -> bool:
        """Tell whether the store's state at a number follows the write of a version.

        written_at is what written_at() returned for the version.
        """
        if number_of(written_at) > number:
            return False
        return self._written_at(written_at) == written_at

    def _written_at(self, revision: int) -> int:
        number = number_of(revision)
        eras = [era for era, start in self.starts if start <= number]
        return make_revision(max(eras, default=NO_ERA), number)


class _Origin(Record):
    written_in: Era = NO_ERA
    rewritten_from: Count = NO_ERA


def with_origin(change: Change) -> Any:
    """Return the JSON value that writes a version again; its revision is the version's."""
    return {**msgspec.json.decode(change.value), ORIGIN_FIELD: change.revision}


def with_era(value: Any, era: int) -> Any:
    """Return the JSON value to send for a record in an era of the store."""
    if value is None or era == NO_ERA:
        return value
    return {**msgspec.to_builtins(value), ERA_FIELD: era}


def same_content(change: Change, other: Change) -> bool:
    """Tell whether two versions have the same value, apart from what tells when it was written."""
    if bytes(change.value) == bytes(other.value):
        return True
    return _content(change) == _content(other)


def read_marks(changes: Iterable[Change]) -> EraMarks:
    """Return the marks among objects of the kind ERA_KIND."""
    starts, settled = [], NO_ERA
    for change in changes:
        era = change.decode(EraMark).era
        if change.name == SETTLED:
            settled = era
        else:
            starts.append((era, start_of(change)))
    return EraMarks(starts=tuple(sorted(starts)), settled=settled)


def start_of(mark: Change) -> int:
    """Return the first number of an era by its start mark."""
    return mark.decode(EraMark).start or number_of(mark.revision)


def is_first(marks: EraMarks, revision: int, first_known: int) -> bool:
    """Tell whether nothing shows that there was an era before that of a revision.

    first_known is the first era that the asking host has known. A later era than FIRST_ERA may lack
    all marks, if the copy is older than the fleet.
    """
    era = era_of(revision)
    return era == first_known <= FIRST_ERA and all(e == era for e, _ in marks.starts)


def is_settled(marks: EraMarks, revision: int, first_known: int) -> bool:
    """Tell whether the state at a revision lacks nothing that was ever written."""
    if era_of(revision) in (NO_ERA, marks.settled):
        return True
    return is_first(marks, revision, first_known)


def _read_origin(change: Change) -> _Origin:
    """Return what an object's value tells of its origin; removals and foreign values tell none."""
    try:
        return change.decode(_Origin | None) or _Origin()
    except msgspec.DecodeError as exc:
        logs.warn("origin_unreadable", kind=change.kind, name=change.name, message=str(exc))
        return _Origin()


def _content(change: Change) -> Any:
    value = msgspec.json.decode(change.value)
    if isinstance(value, dict):
        return {k: v for k, v in value.items() if k not in (ERA_FIELD, ORIGIN_FIELD)}
    return value
