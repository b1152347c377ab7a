"""Read hosts' logs: the lines of one request in order, and what hosts believed over time."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

FIELD = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
BELIEFS = frozenset(
    {
        "configuration",
        "demoted",
        "promotion_lease_taken",
        "host_recovered",
        "host_seen",
        "host_suspected",
        "host_unlisted",
        "assignment_changed",
        "primary_suspected",
        "promotion_began",
        "promotion_done",
        "promotion_failed",
        "token_owner_changed",
        "reloaded",
        "started",
        "stopped",
        "stopping",
        "store_recovered",
        "store_lost",
        "target_removed",
        "target_listed",
    }
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """Hold one event of one host; time is in seconds of that host's time of day."""

    host: str
    number: int
    time: float
    event: str
    fields: dict[str, str]


def read(files: Iterable[str]) -> Iterator[LogLine]:
    """Return the events of log files, each named after its host; other lines are passed over."""
    for name in files:
        path = Path(name)
        with path.open(encoding="utf-8", errors="replace") as lines:
            for number, text in enumerate(lines, start=1):
                line = parse(path.stem, number, text)
                if line is not None:
                    yield line


def parse(host: str, number: int, text: str) -> LogLine | None:
    """Return the event of one line, or None if it holds none."""
    fields = {name: _plain(value) for name, value in FIELD.findall(text)}
    event = fields.pop("event", "")
    try:
        time = float(fields.pop("time", ""))
    except ValueError:
        return None
    if not event:
        return None
    return LogLine(host=host, number=number, time=time, event=event, fields=fields)


def trace(request: str, files: Iterable[str]) -> list[LogLine]:
    """Return the lines that name a request, across hosts, in order of time."""
    return _sorted(line for line in read(files) if line.fields.get("request") == request)


def timeline(files: Iterable[str]) -> list[LogLine]:
    """Return the lines that change what a host believes, across hosts, in order of time."""
    return _sorted(line for line in read(files) if line.event in BELIEFS)


def rows(lines: Iterable[LogLine]) -> list[dict[str, str]]:
    """Return lines as rows of a table."""
    return [
        {
            "time": f"{line.time:.3f}",
            "host": line.host,
            "event": line.event,
            "what": " ".join(f"{k}={v}" for k, v in line.fields.items() if v != ""),
        }
        for line in lines
    ]


def _sorted(lines: Iterable[LogLine]) -> list[LogLine]:
    return sorted(lines, key=lambda line: (line.time, line.host, line.number))


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    return value[1:-1].replace('\\"', '"')
