"""wagtailloft: a database proxy with session consistency."""

from wagtailloft.api import read, write
from wagtailloft.client import Session, Transaction
from wagtailloft.errors import (
    ChangeRequest,
    CheckOutcome,
    FixSettings,
    Kind,
    TryAgain,
    WagtailError,
)

__version__ = "0.1.0"

__all__ = [
    "ChangeRequest",
    "CheckOutcome",
    "FixSettings",
    "Kind",
    "Session",
    "Transaction",
    "TryAgain",
    "WagtailError",
    "read",
    "write",
]
