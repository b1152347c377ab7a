"""Read the log events and the metrics of failed work in tests."""

from contextlib import contextmanager

from wagtailloft import logs


@contextmanager
def captured_log():
    """Collect the log events as pairs of name and fields."""
    lines = []
    event, warn = logs.event, logs.warn
    logs.event = logs.warn = lambda name, /, **fields: lines.append((name, fields))
    try:
        yield lines
    finally:
        logs.event, logs.warn = event, warn


def failures_of(lines, task):
    """Return the fields of the events about failures of a task."""
    return [f for name, f in lines if name == "task_failed" and f.get("task") == task]


def failure_count(text, task):
    """Return the failures of a task in the text of all metrics; 0 if it is not there."""
    prefix = f'wagtailloft_task_failures_total{{task="{task}"}} '
    values = [x.removeprefix(prefix) for x in text.splitlines() if x.startswith(prefix)]
    return float(values[0]) if values else 0.0
