"""Read the logs of hosts: trace one request, or list the changes of state over time."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from wagtailloft import logs

FIELD_PATTERN = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
STATE_EVENTS = frozenset(
    {
        "assignment_rewritten",
        "configuration",
        "demoted",
        "object_rewritten",
        "promotion_lease_taken",
        "host_recovered",
        "host_seen",
        "host_suspected",
        "host_unlisted",
        "host_withdrawn",
        "assignment_changed",
        "primary_suspected",
        "process_failed",
        "promotion_began",
        "promotion_done",
        "promotion_failed",
        "promotion_ordered",
        "promotion_unfinished",
        "token_owner_changed",
        "reloaded",
        "started",
        "stopped",
        "stopping",
        "store_era_changed",
        "store_era_settled",
        "store_recovered",
        "store_lost",
        "target_ejected",
        "target_readmitted",
        "target_removed",
        "target_listed",
        "task_failed",
    }
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """A logged event of a host; time is in seconds since the epoch by that host's clock."""

    host: str
    line_number: int
    time: float
    event: str
    fields: dict[str, str]


def read_events(files: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of log files, each named after its host; skip lines that hold no event."""
    for name in files:
        path = Path(name)
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line_number, text in enumerate(lines, start=1):
                line = parse_line(path.stem, line_number, text)
                if line is not None:
                    yield line


def parse_line(host: str, line_number: int, text: str) -> LogLine | None:
    """Parse a line as an event; return None if it is not one."""
    fields = {name: logs.unquote(value) for name, value in FIELD_PATTERN.findall(text)}
    event = fields.pop("event", "")
    try:
        time = float(fields.pop("time", ""))
    except ValueError:
        return None
    if not event:
        return None
    return LogLine(host=host, line_number=line_number, time=time, event=event, fields=fields)


def trace(request: str, files: Iterable[str]) -> list[LogLine]:
    """Return the events of one request from all hosts, sorted by time."""
    return _sort_by_time(
        line for line in read_events(files) if line.fields.get("request") == request
    )


def timeline(files: Iterable[str]) -> list[LogLine]:
    """Return the events that change a host's view of the system, from all hosts, sorted by time."""
    return _sort_by_time(line for line in read_events(files) if line.event in STATE_EVENTS)


def table_rows(lines: Iterable[LogLine]) -> list[dict[str, str]]:
    """Return events as the rows of a table."""
    return [
        {
            "time": f"{line.time:.3f}",
            "host": line.host,
            "event": line.event,
            "what": " ".join(f"{k}={logs.quote(v)}" for k, v in line.fields.items() if v != ""),
        }
        for line in lines
    ]


def _sort_by_time(lines: Iterable[LogLine]) -> list[LogLine]:
    return sorted(lines, key=lambda line: (line.time, line.host, line.line_number))
