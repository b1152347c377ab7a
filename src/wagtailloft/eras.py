"""The marks that the fleet leaves in each era of the platform's store.

The first write of an era is its start mark. Objects with a lower number come from the copy, those
with a higher one were written in the era, so a host can tell which of two versions is later. The
settled mark is written once everything that the copy lacks has been written again. An object that
is written again names the revision of its version, since the host that writes it may have missed a
later one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from wagtailloft.models import Change, EraMark, Record
from wagtailloft.revisions import NO_ERA, era_of, make_revision, number_of

ERA_KIND = "era"
SETTLED = "settled"  # name of the settled mark; a start mark's name is the era
ORIGIN_FIELD = "rewritten_from"
FIRST_ERA = 1  # of a store that was never restored


@dataclass(frozen=True, kw_only=True)
class EraMarks:
    """The marks that a state of the store holds; starts has pairs of era and number."""

    starts: tuple[tuple[int, int], ...] = ()
    settled: int = NO_ERA

    def written_at(self, change: Change) -> int:
        """Return the revision of an object's version in the era in which it was first written."""
        return origin(change) or self._written_at(change.revision)

    def includes(self, written_at: int, state: int) -> bool:
        """Tell whether a state of the store follows the write of a version.

        written_at is what written_at() returned for the version, state a revision.
        """
        if number_of(written_at) > number_of(state):
            return False
        return self._written_at(written_at) == written_at

    def _written_at(self, revision: int) -> int:
        number = number_of(revision)
        eras = [era for era, start in self.starts if start <= number]
        return make_revision(max(eras, default=NO_ERA), number)


class _Rewritten(Record):
    rewritten_from: int = NO_ERA


def with_origin(change: Change) -> Any:
    """Return the JSON value that writes a version again; its revision is the version's."""
    return {**msgspec.json.decode(change.value), ORIGIN_FIELD: change.revision}


def origin(change: Change) -> int:
    """Return the revision of the version that was written again, 0 if the change is no rewrite."""
    if ORIGIN_FIELD.encode() not in bytes(change.value):
        return NO_ERA
    return change.decode(_Rewritten).rewritten_from


def read_marks(changes: Iterable[Change]) -> EraMarks:
    """Return the marks among objects of the kind ERA_KIND."""
    starts, settled = [], NO_ERA
    for change in changes:
        era = change.decode(EraMark).era
        if change.name == SETTLED:
            settled = era
        else:
            starts.append((era, number_of(change.revision)))
    return EraMarks(starts=tuple(sorted(starts)), settled=settled)


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
