"""Steps for session consistency and for reads with a maximum age."""

import threading
import time

from behave import then, when

from features.test_fleet import ROUTE
from wagtailloft import ChangeRequest, CheckOutcome, TryAgain

CALLER_ERRORS = (TryAgain, CheckOutcome, ChangeRequest)


@when("callers continue for {seconds:g} s")
@then("callers continue for {seconds:g} s")
def step_continue(context, seconds):
    time.sleep(seconds)


@then("no read was refused")
def step_no_refused_read(context):
    assert not context.checker.read_refusals, context.checker.read_refusals


class StalenessChecker:
    """Write an increasing number and record reads older than their maximum age in `stale`."""

    def __init__(self, *, test_fleet, ages):
        """Start a writer, and a reader for each maximum age in seconds."""
        self.test_fleet = test_fleet
        self.acknowledged = [(float("-inf"), 0)]
        self.stale = []
        self.reads = 0
        self.stop = threading.Event()
        session = test_fleet.session()
        session.write("CREATE TABLE counter (n INTEGER)")
        session.write("INSERT INTO counter VALUES (0)")
        loops = [(self.write, ())] + [(self.read, (age,)) for age in ages]
        self.threads = [threading.Thread(target=t, args=a, daemon=True) for t, a in loops]
        for thread in self.threads:
            thread.start()

    def write(self):
        """Write numbers and record when each was acknowledged."""
        session, number = self.test_fleet.session(), 0
        while not self.stop.is_set():
            number += 1
            try:
                session.write("UPDATE counter SET n = ?", number, deadline=3.0)
            except CALLER_ERRORS:
                continue
            self.acknowledged.append((time.monotonic(), number))
            time.sleep(0.02)

    def read(self, age):
        """Read in new sessions; compare with the last write acknowledged `age` s earlier."""
        while not self.stop.is_set():
            began = time.monotonic()
            try:
                read = self.test_fleet.session(route=ROUTE).read(
                    "SELECT n FROM counter", max_age=age, deadline=3.0
                )
            except CALLER_ERRORS:
                continue
            expected = max(n for at, n in list(self.acknowledged) if at <= began - age)
            self.reads += 1
            if read.result.rows[0][0] < expected:
                self.stale.append((age, expected, read))
            time.sleep(0.02)

    def close(self):
        """Stop the writer and the readers."""
        self.stop.set()
        for thread in self.threads:
            thread.join()


@when("a counter is written and read with maximum ages of {first:g}, {second:g} and {third:g} s")
def step_counter(context, first, second, third):
    context.staleness = StalenessChecker(test_fleet=context.test_fleet, ages=(first, second, third))
    context.stack.callback(context.staleness.close)
    time.sleep(3)


@then("no read was older than its maximum age")
def step_no_stale_read(context):
    context.staleness.close()
    print(f"reads {context.staleness.reads} writes {len(context.staleness.acknowledged)}")
    assert context.staleness.reads > 50, context.staleness.reads
    assert not context.staleness.stale, context.staleness.stale[:3]
