"""wagtailloft: a database proxy with session consistency."""

from importlib import import_module
from typing import Any

__version__ = "0.1.0"

# Module of each public name. Modules are imported on first use, because a host process needs none
# of these names and starts faster without them.
_MODULES = {
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

__all__ = list(_MODULES)


def __getattr__(name: str) -> Any:
    """Import a public name on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
