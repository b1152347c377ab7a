"""Functions for scripts that run a single statement in a session of its own."""

from wagtailloft.adapters.callers import Success
from wagtailloft.client import Session
from wagtailloft.models import Cell


def read(host: str, route: str, sql: str, *args: Cell, key: str = "", **options: object) -> Success:
    """Run one read through a host; see Session.read for the options and Session for the errors."""
    return Session(hosts=[host], route=route, key=key).read(sql, *args, **options)


def write(
    host: str, route: str, sql: str, *args: Cell, key: str = "", **options: object
) -> Success:
    """Run one write through a host; see Session.write for the options, Session for the errors."""
    return Session(hosts=[host], route=route, key=key).write(sql, *args, **options)
