"""Steps of sessions and of reads with a stated age."""

import threading
import time

from behave import then, when

from features.world import ROUTE
from wagtailloft import ChangeRequest, CheckOutcome, TryAgain

ERRORS = (TryAgain, CheckOutcome, ChangeRequest)


@when("callers go on for {seconds:g} s")
@then("callers go on for {seconds:g} s")
def step_go_on(context, seconds):
    time.sleep(seconds)


@then("no read was refused")
def step_no_refusal(context):
    assert not context.checker.read_refusals, context.checker.read_refusals


class Counter:
    """Write a growing number and read it at stated ages."""

    def __init__(self, *, world, ages):
        """Start a writer and a reader for each age."""
        self.world = world
        self.acknowledged = [(float("-inf"), 0)]
        self.stale = []
        self.reads = 0
        self.stop = threading.Event()
        session = world.session()
        session.write("CREATE TABLE counter (n INTEGER)")
        session.write("INSERT INTO counter VALUES (0)")
        targets = [(self.write, ())] + [(self.read, (age,)) for age in ages]
        self.threads = [threading.Thread(target=t, args=a, daemon=True) for t, a in targets]
        for thread in self.threads:
            thread.start()

    def write(self):
        """Write numbers and note when each was acknowledged."""
        session, number = self.world.session(), 0
        while not self.stop.is_set():
            number += 1
            try:
                session.write("UPDATE counter SET n = ?", number, deadline=3.0)
            except ERRORS:
                continue
            self.acknowledged.append((time.monotonic(), number))
            time.sleep(0.02)

    def read(self, age):
        """Read without a session and compare with what was acknowledged an age ago."""
        while not self.stop.is_set():
            began = time.monotonic()
            try:
                read = self.world.session(route=ROUTE).read(
                    "SELECT n FROM counter", max_age=age, deadline=3.0
                )
            except ERRORS:
                continue
            least = max(n for at, n in list(self.acknowledged) if at <= began - age)
            self.reads += 1
            if read.result.rows[0][0] < least:
                self.stale.append((age, least, read))
            time.sleep(0.02)

    def close(self):
        """Stop."""
        self.stop.set()
        for thread in self.threads:
            thread.join()


@when("a counter is written and read at ages of {one:g}, {two:g} and {three:g} s")
def step_counter(context, one, two, three):
    context.counter = Counter(world=context.world, ages=(one, two, three))
    context.stack.callback(context.counter.close)
    time.sleep(3)


@then("no read was older than stated")
def step_not_older(context):
    context.counter.close()
    print(f"reads {context.counter.reads} writes {len(context.counter.acknowledged)}")
    assert context.counter.reads > 50, context.counter.reads
    assert not context.counter.stale, context.counter.stale[:3]
