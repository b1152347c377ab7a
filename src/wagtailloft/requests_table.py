"""The table in which a group keeps the ids of the requests that ran."""

import time

from wagtailloft.models import Rows, Statement

TABLE = "wagtailloft_requests"
MISSING_TABLE_ERROR = f"no such table: {TABLE}"
DUPLICATE_ERROR = f"{TABLE}.id"

CREATE_TABLE = Statement(
    sql=f"CREATE TABLE IF NOT EXISTS {TABLE} (id TEXT PRIMARY KEY, changed INTEGER, at REAL)"
)


def request_key(team: str, request_id: str) -> str:
    """Return the id under which a team's request is kept."""
    return f"{team}/{request_id}"


def insert_request(key: str) -> Statement:
    """Return the statement that enters a request; it fails if the id is there."""
    sql = f"INSERT INTO {TABLE} (id, changed, at) VALUES (?, -1, ?)"
    return Statement(sql=sql, args=(key, time.time()))


def record_row_count(key: str) -> Statement:
    """Return the statement that keeps how many rows the request changed."""
    return Statement(sql=f"UPDATE {TABLE} SET changed = changes() WHERE id = ?", args=(key,))


def select_request(key: str) -> Statement:
    """Return the statement that looks a request up."""
    return Statement(sql=f"SELECT changed FROM {TABLE} WHERE id = ?", args=(key,))


def parse_outcome(found: Rows) -> Rows | None:
    """Return what is known of the first run, or None if the id is not there."""
    if not found.rows:
        return None
    changed = found.rows[0][0]
    return Rows(count=int(changed or 0))
