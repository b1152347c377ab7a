"""Steps for the budget of clients, without a network and with given times."""

import asyncio

from behave import then
from hypothesis import given
from hypothesis import strategies as st

from wagtailloft.adapters.client_guard import SMALL_STATEMENT_BYTES, ClientGuard
from wagtailloft.adapters.large_answers import LargeAnswers
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.controllers.client_budget import (
    RUNNING_COPIES,
    STALLED_S,
    ClientBudget,
    ClientUse,
    limits_for_memory,
)


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
