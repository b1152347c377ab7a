"""Steps for the budget of clients, without a network and with given times."""

import asyncio
import errno
import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from behave import step, then, when
from hypothesis import given
from hypothesis import strategies as st

from features.virtual_time import run_virtual
from standins.fleet import wait_until
from wagtailloft.adapters.client_guard import SMALL_STATEMENT_BYTES, ClientGuard
from wagtailloft.adapters.large_answers import LargeAnswers
from wagtailloft.adapters.server import HttpResponse, HttpServer
from wagtailloft.clock import now
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.controllers.client_budget import (
    RUNNING_COPIES,
    STALLED_S,
    ClientBudget,
    ClientUse,
    limits_for_memory,
)
from wagtailloft.sessions.statements import StatementResult, TransactionState
from wagtailloft.supervision import Supervisor

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import front  # noqa: E402


class Reader:
    """A link that records when it is resumed."""

    def __init__(self, number, resumed):
        """Create a link with a number."""
        self.number, self.resumed = number, resumed

    def resume_reading(self):
        """Record the number."""
        self.resumed.append(self.number)


FIELDS = ("received", "decoded", "unsent", "kept")


def add_uses(budget, *names):
    """Return new uses that the budget counts."""
    uses = [ClientUse(owner=name) for name in names]
    for use in uses:
        budget.add(use)
    return uses


@then("clients that do not read are closed before those that hold more, and no more than needed")
def step_order(context):
    budget = ClientBudget(limit=100)
    reader, stalled, largest, idle = add_uses(budget, "reader", "stalled", "largest", "idle")
    budget.charge(stalled, 0.0, unsent=20)
    budget.charge(largest, 0.0, received=60)
    budget.charge(idle, 0.0, kept=5)
    assert budget.to_close(STALLED_S * 2) == []
    budget.charge(reader, STALLED_S * 2, unsent=30)
    assert budget.to_close(STALLED_S * 2) == [stalled]
    budget.charge(idle, STALLED_S * 2, kept=40)
    assert budget.to_close(STALLED_S * 2) == [stalled, largest]


@then("one that takes some of what waits for it counts as reading")
def step_slow_reader(context):
    budget = ClientBudget(limit=100)
    (slow,) = add_uses(budget, "slow")
    budget.charge(slow, 0.0, unsent=50)
    budget.charge(slow, 5.0, unsent=49)
    assert slow.stalled_for(5.0 + STALLED_S / 2) < STALLED_S
    budget.charge(slow, 6.0, unsent=79, added=30)  # more waits, and nothing of it was taken
    assert slow.stalled_for(6.0) == 1.0
    budget.charge(slow, 7.0, unsent=0)
    assert slow.stalled_for(60.0) == 0.0


@then("the budget's sum is what the connections hold, and closing what it names is enough")
def step_any_order(context):
    amounts = st.integers(0, 200)
    change = st.tuples(st.integers(0, 5), st.sampled_from((*FIELDS, "remove")), amounts)

    @given(st.lists(change, max_size=40))
    def check(changes):
        budget = ClientBudget(limit=300)
        uses = add_uses(budget, *range(6))
        counted = set(uses)
        for at, (number, what, amount) in enumerate(changes):
            use = uses[number]
            if what == "remove":
                budget.remove(use)
                counted.discard(use)
            else:
                budget.charge(use, float(at), **{what: amount})
            assert budget.held == sum(u.total for u in counted)
        for use in budget.to_close(float(len(changes))):
            budget.remove(use)
        assert not budget.exceeded

    check()
    small = limits_for_memory(0, startup=1.0, message=1.0, unread=1.0)
    assert small.callers_bytes >= (4 + 2 * 2 + 1 + 2) << 20  # what one caller may hold


@then("at most the granted bytes run at once, in order, and one over the limit runs alone")
def step_running(context):
    limit = 4 * RUNNING_COPIES * SMALL_STATEMENT_BYTES

    @given(st.lists(st.integers(1, 6 * SMALL_STATEMENT_BYTES), min_size=1, max_size=12))
    def check(sizes):
        running, started = [], []
        guard = ClientGuard(port="p", budget_bytes=1, running_bytes=limit, closed=ClosedClients())

        async def run(number, size):
            async with guard.running(size):
                if size > SMALL_STATEMENT_BYTES:
                    started.append(number)
                    running.append(size)
                    assert len(running) == 1 or sum(running) * RUNNING_COPIES <= limit, running
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                    running.remove(size)

        async def run_all():
            async with asyncio.timeout(5.0):
                await asyncio.gather(*(run(n, s) for n, s in enumerate(sizes)))

        asyncio.run(run_all())
        assert started == sorted(started)
        assert len(started) == sum(s > SMALL_STATEMENT_BYTES for s in sizes)

    check()


REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def start_server(context, handler):
    """Start an HTTP server with one thread for at most 4 connections."""
    context.server = HttpServer(
        ip="127.0.0.1",
        port=0,
        handler=handler,
        threads=1,
        name="http",
        supervisor=Supervisor(),
        max_connections=4,
    )
    context.add_cleanup(context.server.stop)
    context.address = context.server._listener.getsockname()
    context.server.start()


def connect(context):
    """Return a connection that has sent a request."""
    client = socket.create_connection(context.address, timeout=5.0)
    context.add_cleanup(client.close)
    with suppress(OSError):  # refused
        client.sendall(REQUEST)
    return client


@step("an HTTP server of {count:d} connections whose handler waits")
def step_slow_handler(context, count):
    context.released = released = threading.Event()

    def handle(request):
        released.wait(5.0)
        return HttpResponse(status=200, body=b"")

    start_server(context, handle)


@when("{count:d} connections are opened that send a request each")
def step_many_requests(context, count):
    for _ in range(count):
        connect(context)
        time.sleep(0.005)  # so that each request is received before the next connection


@then("it holds at most {count:d} connections, and serves a client once the handler goes on")
def step_few_connections(context, count):
    held = context.server.connections
    context.released.set()
    assert held <= count, held
    # The connections that were held are closed one by one, and new ones refused until then.
    wait_until(lambda: is_served(context), 5.0, "no client is served")


def is_served(context):
    """Tell whether a new client gets a response."""
    try:
        return connect(context).recv(100).startswith(b"HTTP/1.1 200")
    except ConnectionError:
        return False


@step("an HTTP server that can't accept connections for lack of descriptors")
def step_no_descriptors(context):
    context.tries = []

    def accept(server):
        context.tries.append(time.monotonic())
        raise OSError(errno.EMFILE, "too many open files")

    patched = patch.object(HttpServer, "_accept", accept)
    patched.start()
    context.add_cleanup(patched.stop)
    start_server(context, handler=None)


@then("it tries at most {count:d} times in {seconds:g} s")
def step_few_tries(context, count, seconds):
    connect(context)
    time.sleep(seconds)
    assert 1 <= len(context.tries) <= count, len(context.tries)


class PlayedCaller:
    """A caller's connection whose session takes some time for each statement."""

    def __init__(self, guard, seconds):
        """Take the guard that is shared with others, and the time of a statement."""
        self.written, self.seconds = [], seconds
        self.state, self.transport = TransactionState.IDLE, self
        self.conn = front.CallerConnection(
            server=SimpleNamespace(closing=False), name="s", guard=guard
        )
        self.conn.session, self.conn._transport = self, self

    async def handle(self, request_id, statement):
        """Take the time of a statement."""
        await asyncio.sleep(self.seconds)
        return StatementResult(signature=request_id)

    def is_closing(self):
        """Stay open."""
        return False

    def write(self, data):
        """Record an answer and its time."""
        self.written.append((now(), data))


@step("a caller whose large statement runs for {seconds:g} s, and no other may run beside it")
def step_large_runs(context, seconds):
    context.seconds = seconds


@when("another caller sends a large statement and a small one")
def step_large_waits(context):
    large = b"QUERY q1 WRITE " + b"x" * (2 * SMALL_STATEMENT_BYTES) + b"\r\n"

    async def run():
        guard = ClientGuard(port="p", budget_bytes=1 << 20, running_bytes=1, closed=ClosedClients())
        PlayedCaller(guard, context.seconds).conn.data_received(large)
        await asyncio.sleep(0)
        caller, began = PlayedCaller(guard, 0.01), now()
        caller.conn.data_received(large + b"QUERY q2 READ x\r\n")
        await asyncio.sleep(context.seconds / 2)
        return [(at - began, data) for at, data in caller.written]

    context.written = run_virtual(run())


@then("the large one is refused as busy within {limit:g} s, and the small one is served")
def step_large_refused(context, limit):
    assert len(context.written) == 2, context.written
    (at, refused), (_, served) = context.written
    assert at <= limit and refused.startswith(b"ERR BUSY"), context.written
    assert served.startswith(b"DONE q2"), context.written


@then("a few go on at once, the others are resumed in order, also when one that waits is lost")
def step_large_answers(context):
    resumed = []
    answers = LargeAnswers(limit=2)
    readers = [Reader(number, resumed) for number in range(6)]
    assert [answers.admit(r) for r in readers] == [True, True, False, False, False, False]
    assert answers.admit(readers[0]) and not answers.admit(readers[2])
    answers.release(readers[3])
    answers.release(readers[1])
    answers.release(readers[0])
    assert resumed == [2, 4] and answers.admit(readers[4]) and not answers.admit(readers[5])


@then("the next large statement runs at once")
def step_left_caller(context):
    size = 2 * SMALL_STATEMENT_BYTES

    async def check():
        guard = ClientGuard(port="p", budget_bytes=1, running_bytes=1, closed=ClosedClients())

        async def hold(seconds):
            async with guard.running(size) as may_run:
                await asyncio.sleep(seconds)
                return may_run

        first = asyncio.create_task(hold(0.1))
        await asyncio.sleep(0.05)
        leaving = asyncio.create_task(hold(1.0))
        await asyncio.sleep(0.01)
        first.add_done_callback(lambda _: leaving.cancel())
        await first
        await asyncio.gather(leaving, return_exceptions=True)
        began = now()
        assert await hold(0.0) and now() - began < 0.1, now() - began

    run_virtual(check())
