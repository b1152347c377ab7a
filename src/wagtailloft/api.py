"""One-line reads and writes for scripts."""

from wagtailloft.adapters.callers import Success
from wagtailloft.client import Session
from wagtailloft.models import Cell


def read(host: str, route: str, sql: str, *args: Cell, key: str = "", **given: object) -> Success:
    """Run one read through a host; see Session for the options and errors."""
    return Session(hosts=[host], route=route, key=key).read(sql, *args, **given)


def write(host: str, route: str, sql: str, *args: Cell, key: str = "", **given: object) -> Success:
    """Run one write through a host; see Session for the options and errors."""
    return Session(hosts=[host], route=route, key=key).write(sql, *args, **given)
