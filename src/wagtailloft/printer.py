"""Print the output of the operators' commands, as tables or as JSON."""

import json
import time
from typing import Any


class Printer:
    """Print values as aligned tables, or as JSON if `as_json` is set."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, value: Any, rows: list[dict[str, Any]] | None = None) -> None:
        """Print a value as JSON, or `rows` as a table; without rows, the value is the table."""
        if self.as_json:
            print(json.dumps(value, indent=2))
            return
        if rows is None:
            rows = value if isinstance(value, list) else [value]
        print(format_table(rows))


def format_table(rows: list[dict[str, Any]]) -> str:
    """Format rows as an aligned table; the keys of the first row are its columns."""
    if not rows:
        return ""
    headers = list(rows[0])
    cells = [[str(row.get(h, "")) for h in headers] for row in rows]
    widths = [max(len(h), *(len(c[i]) for c in cells)) for i, h in enumerate(headers)]
    lines = [headers, *cells]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip() for line in lines
    )


def host_row(host: dict[str, Any]) -> dict[str, Any]:
    """Return the table row of a host's status."""
    return {
        "host": host["name"],
        "state": host["state"],
        "zone": host["zone"],
        "revision": host["revision"],
        "settings": host["settings"],
        "age": host["settings_age"],
        "spreader": "yes" if host["spreader"] else "",
        "groups": ",".join(g["name"] for g in host["groups"]),
    }


def group_rows(group: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the table rows of a group's status, one for each member."""
    return [
        {
            "group": group["name"],
            "owner": group["owner"],
            "term": group["term"],
            "member": m["name"],
            "role": "primary" if m["name"] == group["primary"] else m["role"],
            "reachable": "yes" if m["reachable"] else "no",
            "received": m["received"],
            "applied": m["applied"],
            "lag": m["lag_entries"],
            "queued": m["queued"],
            "connections": m["connections"],
        }
        for m in group["members"]
    ]


def flatten_row(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with each list joined into one text."""
    return {k: _format_cell(v) for k, v in row.items()}


def _format_cell(value: Any) -> Any:
    if isinstance(value, list):
        return ",".join(v["name"] if isinstance(v, dict) else str(v) for v in value)
    return value


def time_of_day(seconds: float) -> str:
    """Return the local time of day of a Unix time, with milliseconds."""
    whole = time.strftime("%H:%M:%S", time.localtime(seconds))
    return f"{whole}.{int(seconds * 1000) % 1000:03d}"
