"""Print what operators ask for: tables for a person, JSON for a program."""

import json
import time
from typing import Any


class Printer:
    """Print tables for a person or JSON for a program."""

    def __init__(self, *, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, value: Any, rows: list[dict[str, Any]] | None = None) -> None:
        """Print a value; as a table of rows where a person reads."""
        if self.as_json:
            print(json.dumps(value, indent=2))
            return
        if rows is None:
            rows = value if isinstance(value, list) else [value]
        print(table(rows))


def table(rows: list[dict[str, Any]]) -> str:
    """Return rows as an aligned table."""
    if not rows:
        return ""
    heads = list(rows[0])
    cells = [[str(row.get(h, "")) for h in heads] for row in rows]
    widths = [max(len(h), *(len(c[i]) for c in cells)) for i, h in enumerate(heads)]
    lines = [heads, *cells]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip() for line in lines
    )


def host_row(host: dict[str, Any]) -> dict[str, Any]:
    """Return one host's status as a row."""
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
    """Return one group's members as rows."""
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


def flat(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with lists put into words."""
    return {k: _cell(v) for k, v in row.items()}


def _cell(value: Any) -> Any:
    if isinstance(value, list):
        return ",".join(v["name"] if isinstance(v, dict) else str(v) for v in value)
    return value


def clock(seconds: float) -> str:
    """Return a time of day with milliseconds."""
    whole = time.strftime("%H:%M:%S", time.localtime(seconds))
    return f"{whole}.{int(seconds * 1000) % 1000:03d}"
