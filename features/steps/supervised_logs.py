"""Steps for a log writer whose output fails."""

import errno
import os
import time
from unittest.mock import patch

from behave import given, then, when

from standins.fleet import wait_until
from wagtailloft import logs


def start_writer(context, errors):
    """Start a writer to a pipe; each write raises the first of the errors, if there is one."""
    reader, fd = os.pipe()
    os.set_blocking(reader, False)
    context.stack.callback(os.close, reader)
    context.reader, context.errors, context.reported = reader, errors, []
    write = os.write

    def write_or_fail(target, data):
        if target == fd and errors:
            raise errors.pop(0)
        return write(target, data[:7] if target == fd else data)  # as to a pipe that is nearly full

    context.stack.enter_context(patch.object(logs.os, "write", write_or_fail))
    context.stack.enter_context(patch.object(logs, "RETRY_DELAY_S", 0.05, create=True))
    context.writer = logs.Writer(fd=fd)
    context.writer.on_failure = context.reported.append


@given("a log writer whose output fails with {name} for a while")
def step_output_fails(context, name):
    start_writer(context, [OSError(getattr(errno, name), "injected") for _ in range(4)])


@given("a log writer whose output fails with MemoryError once")
def step_writer_fails(context):
    start_writer(context, [MemoryError("injected")])


@when("two lines are logged while it fails, and one afterwards")
def step_log_lines(context):
    assert context.writer.put("first", failure=True)
    assert context.writer.put("second", failure=True)
    wait_until(lambda: not context.errors, 2.0, "the writer did not try again")
    time.sleep(0.2)
    assert context.writer.put("third", failure=True)
    context.writer.flush(2.0)


@then("all lines are written once, in order, and the failure was reported")
def step_all_written(context):
    try:
        written = os.read(context.reader, 10_000)
    except BlockingIOError:
        written = b""
    assert written == b"first\nsecond\nthird\n", written
    assert len(context.reported) == 1, context.reported
