"""wagtailloft: a database proxy with session consistency."""

from importlib import import_module
from typing import Any

__version__ = "0.1.0"

# Where each public name lives. They are loaded when first used, since a host process needs none of
# them and starts sooner without.
_HOMES = {
    "ChangeRequest": "wagtailloft.errors",
    "CheckOutcome": "wagtailloft.errors",
    "FixSettings": "wagtailloft.errors",
    "Kind": "wagtailloft.errors",
    "Session": "wagtailloft.client",
    "Transaction": "wagtailloft.client",
    "TryAgain": "wagtailloft.errors",
    "WagtailError": "wagtailloft.errors",
    "read": "wagtailloft.api",
    "write": "wagtailloft.api",
}

__all__ = list(_HOMES)


def __getattr__(name: str) -> Any:
    """Load a public name."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_HOMES[name]), name)
