"""SQL of the request table, in which a group keeps the ids of executed requests.

A write and the row of its request are committed together, so a request is executed at most once.
"""

import time

from wagtailloft.models import Rows, SqlStatement

TABLE = "wagtailloft_requests"
MISSING_TABLE_ERROR = f"no such table: {TABLE}"
DUPLICATE_ERROR = f"{TABLE}.id"

CREATE_TABLE = SqlStatement(
    sql=f"CREATE TABLE IF NOT EXISTS {TABLE} (id TEXT PRIMARY KEY, changed INTEGER, at REAL)"
)


def request_key(team: str, request_id: str) -> str:
    """Return the id of a team's request in the table."""
    return f"{team}/{request_id}"


def insert_request(key: str) -> SqlStatement:
    """Return the statement that inserts a request; it fails if the id is already present."""
    sql = f"INSERT INTO {TABLE} (id, changed, at) VALUES (?, -1, ?)"
    return SqlStatement(sql=sql, args=(key, time.time()))


def record_row_count(key: str) -> SqlStatement:
    """Return the statement that records how many rows the request's statement changed."""
    return SqlStatement(sql=f"UPDATE {TABLE} SET changed = changes() WHERE id = ?", args=(key,))


def select_request(key: str) -> SqlStatement:
    """Return the statement that selects a request's row count."""
    return SqlStatement(sql=f"SELECT changed FROM {TABLE} WHERE id = ?", args=(key,))


def parse_outcome(found: Rows) -> Rows | None:
    """Return the recorded row count as a result, or None if the request is not in the table."""
    if not found.rows:
        return None
    changed = found.rows[0][0]
    return Rows(count=int(changed or 0))
