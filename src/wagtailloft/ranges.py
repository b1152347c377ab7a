"""Types of values that come from others, with the ranges that are accepted where they are decoded.

Whatever passes fits into messages between hosts, and into calls of the operating system.
"""

from typing import Annotated

import msgspec

from wagtailloft.revisions import MAX_ERA, NUMBERS_PER_ERA

MAX_COUNT = 2**63 - 1
MAX_NAME_CHARS = 255
MAX_AMOUNT = 1e12

Digest = Annotated[int, msgspec.Meta(ge=0)]  # of 64 bits, as messages between hosts have
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
StoreNumber = Annotated[int, msgspec.Meta(ge=0, lt=NUMBERS_PER_ERA)]  # of a change in its era
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]  # neither NaN nor infinite
Age = Annotated[float, msgspec.Meta(ge=0)]  # of what may never have been known: also infinite
Number = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Seconds = Number  # left; may have passed
RowCount = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)]  # -1 of a statement without a count
# Without control characters, which end a line of the wire or of a log.
Text = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=r"\A[^\x00-\x1f\x7f]*\Z")]
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"\A[^\x00-\x1f\x7f]+\Z")
]
# One field of a line of the wire, where blanks separate the fields.
Word = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"\A[^\s\x00-\x1f\x7f]+\Z")
]
