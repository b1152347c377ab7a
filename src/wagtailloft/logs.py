"""Log events as lines of key=value pairs on standard output, without blocking the caller."""

import errno
import logging as stdlib_logging
import os
import threading
import time
from collections import deque
from collections.abc import Callable

from absl import flags, logging

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
MAX_LINES_PER_S = 400.0  # about 60 KB per second, several times the statement rate of a usual host
MAX_BURST_LINES = 2_000
FAILURE_RESERVE_LINES = 500  # part of the burst and of the queue that only failures may use
MAX_QUEUED_LINES = 4_000  # about 1 MB of memory if the reader of standard output stops
RETRY_DELAY_S = 0.5  # after a failed write
OUTPUT_CLOSED = frozenset({errno.EPIPE, errno.EBADF})  # no later write can succeed
MAX_VALUE_CHARS = 500  # of a line; callers and other systems choose some of the texts
STDOUT = 1


class Writer:
    """Write lines from a background thread, and count the lines that were dropped.

    on_failure is called with the first error of writes that fail in a row.
    """

    def __init__(self, *, fd: int = STDOUT, rate: float = MAX_LINES_PER_S) -> None:
        self.dropped = 0
        self.on_failure: Callable[[Exception], None] = lambda exc: None
        self._fd = fd
        self._rate = rate
        self._tokens = float(MAX_BURST_LINES)
        self._updated = time.monotonic()
        self._lines: deque[str] = deque()
        self._wake = threading.Condition()
        self._thread: threading.Thread | None = None
        self._is_output_closed = False

    def put(self, text: str, *, failure: bool) -> bool:
        """Queue a line; return False if it was dropped."""
        with self._wake:
            self._refill()
            reserve = 0 if failure else FAILURE_RESERVE_LINES
            capacity = MAX_QUEUED_LINES - (0 if failure else FAILURE_RESERVE_LINES)
            if self._tokens - reserve < 1 or len(self._lines) >= capacity:
                self.dropped += 1
                return False
            self._tokens -= 1
            if self.dropped:
                self._lines.append(format_event("lines_dropped", {"count": self.dropped}))
                self.dropped = 0
            self._lines.append(text)
            self._start_thread()
            self._wake.notify()
            return True

    def _start_thread(self) -> None:
        is_running = self._thread is not None and self._thread.is_alive()
        if not is_running and not self._is_output_closed:
            self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
            self._thread.start()

    def _refill(self) -> None:
        now = time.monotonic()
        self._tokens = min(MAX_BURST_LINES, self._tokens + self._rate * (now - self._updated))
        self._updated = now

    def flush(self, timeout: float = 0.5) -> None:
        """Wait up to timeout seconds until all queued lines are written."""
        deadline = time.monotonic() + timeout
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.005)

    def _run(self) -> None:
        try:
            while not self._is_output_closed:
                with self._wake:
                    while not self._lines:
                        self._wake.wait()
                    lines = list(self._lines)
                self._write(("\n".join(lines) + "\n").encode("utf-8", "replace"))
                with self._wake:
                    for _ in lines:
                        self._lines.popleft()
        except Exception as exc:  # the next line starts another thread
            self.on_failure(exc)

    def _write(self, data: bytes) -> None:
        """Write data, again and again if that fails, unless the output is closed."""
        is_failing = False
        while data and not self._is_output_closed:
            try:
                data = data[os.write(self._fd, data) :]
                is_failing = False
            except OSError as exc:
                self._is_output_closed = exc.errno in OUTPUT_CLOSED
                if not is_failing:
                    self.on_failure(exc)
                is_failing = True
                time.sleep(RETRY_DELAY_S)


class _LibraryHandler(stdlib_logging.Handler):
    """Log the records of libraries as events."""

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        """Log a record as one event."""
        fields = {"logger": record.name, "text": record.getMessage()}
        if record.exc_info:
            fields["exception"] = repr(record.exc_info[1])
        _put(format_event("library", fields), failure=record.levelno >= stdlib_logging.WARNING)


_WRITER = Writer()


def start(level: str) -> None:
    """Start to log events of a level and above to standard output."""
    stdlib_logging.getLogger("thrift").setLevel(stdlib_logging.CRITICAL)
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(LEVELS[level])
    root = stdlib_logging.getLogger()
    root.handlers = [_LibraryHandler()]
    root.setLevel(stdlib_logging.WARNING)


def on_write_failure(action: Callable[[Exception], None]) -> None:
    """Call a function when the events can't be written; they are written later if possible."""
    _WRITER.on_failure = action


def event(name: str, /, **fields: object) -> None:
    """Log one event."""
    if logging.level_info():
        _put(format_event(name, fields), failure=False)


def warn(name: str, /, **fields: object) -> None:
    """Log one event that an operator should look into."""
    if logging.level_warning():
        _put(format_event(name, {"level": "warning", **fields}), failure=True)


def flush() -> None:
    """Write the queued lines; call it before the process exits."""
    _WRITER.flush()


def format_event(name: str, fields: dict[str, object]) -> str:
    """Format an event as key=value pairs; quote empty values and those with special characters."""
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={_format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def _put(text: str, *, failure: bool) -> None:
    _WRITER.put(f"time={time.time():.3f} {text}", failure=failure)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[:MAX_VALUE_CHARS]}..."
    return quote(text)


def quote(text: str) -> str:
    """Return a value as it stands in a line: quoted if it is empty or has special characters."""
    if text and not any(c.isspace() or c in '"=' or not c.isprintable() for c in text):
        return text
    escaped = text.encode("unicode_escape").decode().replace('"', '\\"')
    return f'"{escaped}"'


def unquote(value: str) -> str:
    """Return the text of a value in a line; undo quote."""
    if not value.startswith('"'):
        return value
    try:
        return value[1:-1].encode("latin-1").decode("unicode_escape")
    except UnicodeError:  # another program's line
        return value[1:-1]
