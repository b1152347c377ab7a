"""One line of key=value pairs for each event, on standard output; never in the way of work."""

import logging as logging_of_libraries
import os
import threading
import time
from collections import deque

from absl import flags, logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
RATE_LINES_S = 400.0  # about 60 KB a second; several times a host's usual statements
BURST_LINES = 2_000
FAILURE_RESERVE_LINES = 500  # of the burst, kept for failures
QUEUE_LINES = 4_000  # about 1 MB when a reader stops reading
STDOUT = 1


class Writer:
    """Write lines from a thread of its own; count the lines that had to be dropped."""

    def __init__(self, *, fd: int = STDOUT, rate: float = RATE_LINES_S) -> None:
        self.dropped = 0
        self._fd = fd
        self._rate = rate
        self._tokens = float(BURST_LINES)
        self._updated = time.monotonic()
        self._lines: deque[str] = deque()
        self._wake = threading.Condition()
        self._thread: threading.Thread | None = None

    def put(self, text: str, *, failure: bool) -> bool:
        """Queue a line; return False if it was dropped."""
        with self._wake:
            self._refill()
            reserve = 0 if failure else FAILURE_RESERVE_LINES
            room = QUEUE_LINES - (0 if failure else FAILURE_RESERVE_LINES)
            if self._tokens - reserve < 1 or len(self._lines) >= room:
                self.dropped += 1
                return False
            self._tokens -= 1
            if self.dropped:
                self._lines.append(line("lines_dropped", {"count": self.dropped}))
                self.dropped = 0
            self._lines.append(text)
            if self._thread is None:
                self._thread = threading.Thread(target=self._write, name="logs", daemon=True)
                self._thread.start()
            self._wake.notify()
            return True

    def _refill(self) -> None:
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + self._rate * (now - self._updated))
        self._updated = now

    def flush(self, limit: float = 0.5) -> None:
        """Wait until all queued lines are written, for so many seconds at most."""
        until = time.monotonic() + limit
        while self._lines and time.monotonic() < until:
            time.sleep(0.005)

    def _write(self) -> None:
        while True:
            with self._wake:
                while not self._lines:
                    self._wake.wait()
                lines = list(self._lines)
            data = ("\n".join(lines) + "\n").encode("utf-8", "replace")
            try:
                while data:
                    data = data[os.write(self._fd, data) :]
            except OSError:
                return
            with self._wake:
                for _ in lines:
                    self._lines.popleft()


class _Handler(logging_of_libraries.Handler):
    """Pass on what libraries log."""

    def emit(self, record: logging_of_libraries.LogRecord) -> None:
        """Write a record as one line."""
        fields = {"logger": record.name, "text": record.getMessage()}
        if record.exc_info:
            fields["exception"] = repr(record.exc_info[1])
        _put(line("library", fields), failure=record.levelno >= logging_of_libraries.WARNING)


_WRITER = Writer()


def start(level: str) -> None:
    """Write events of a level and above to standard output."""
    logging_of_libraries.getLogger("thrift").setLevel(logging_of_libraries.CRITICAL)
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(LEVELS[level])
    root = logging_of_libraries.getLogger()
    root.handlers = [_Handler()]
    root.setLevel(logging_of_libraries.WARNING)


def event(name: str, /, **fields: object) -> None:
    """Log one event."""
    if logging.level_info():
        _put(line(name, fields), failure=False)


def warn(name: str, /, **fields: object) -> None:
    """Log one event that an operator should look at."""
    if logging.level_warning():
        _put(line(name, {"level": "warning", **fields}), failure=True)


def flush() -> None:
    """Write what is queued before the process ends."""
    _WRITER.flush()


def line(name: str, fields: dict[str, object]) -> str:
    """Return an event as key=value pairs; values with spaces are quoted."""
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={_quoted(value)}" for key, value in fields.items())
    return " ".join(pairs)


def _put(text: str, *, failure: bool) -> None:
    _WRITER.put(f"time={time.time():.3f} {text}", failure=failure)


def _quoted(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and not any(c.isspace() or c in '"=' or not c.isprintable() for c in text):
        return text
    escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
    return f'"{escaped}"'
