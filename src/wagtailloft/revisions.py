"""Revisions of a store that may come back from an older copy, each with the era it belongs to.

A store numbers its changes. When it comes back from a copy, it gives numbers out again for other
contents, and its era rises by one. A revision therefore holds the era and the number in one integer
that orders all states of the store: every state of a later era follows every state of an earlier
one. Only the clients of the store handle bare numbers.
"""

# Readable in decimal: 2000000000017 is number 17 of era 2. Thousands of eras fit into the 53 bits
# that JSON numbers carry exactly.
NUMBERS_PER_ERA = 10**12
MAX_ERA = (2**63 - 1) // NUMBERS_PER_ERA - 1  # its revisions fit into 64 bits
NO_ERA = 0  # of a store that names no era and never comes back from a copy
FIRST_ERA = 1  # of a store that was never restored


def make_revision(era: int, number: int) -> int:
    """Return the revision of a number that the store gave out in an era; number 0 precedes all."""
    return era * NUMBERS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // NUMBERS_PER_ERA


def number_of(revision: int) -> int:
    """Return the store's own number of a revision, which is meaningful only in its era."""
    return revision % NUMBERS_PER_ERA
