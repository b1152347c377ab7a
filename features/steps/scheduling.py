"""Steps that play load on the scheduler of one target, without a network."""

import asyncio
import random
from dataclasses import dataclass

from behave import given, then, when

from features.virtual_time import run_virtual
from wagtailloft import clock
from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.controllers.scheduling import TurnRequest
from wagtailloft.errors import NotSent
from wagtailloft.fleet.records import Target
from wagtailloft.groups.link_pool import LinkPool

CONNECT_S = 0.012  # of a slot at the target, for each new link


@dataclass(kw_only=True)
class Arrival:
    """A statement that comes at a time; ended is when it was answered."""

    at: float
    team: str = "t"
    priority: int = 1
    budget: float = 1.0
    chars: int = 0
    in_transaction: bool = False
    leaves_after: float | None = None
    ended: float = 0.0
    ran: bool = False


class FakeLink:
    """A link that only records whether it is closed."""

    def __init__(self, spec):
        """Create an open link."""
        self.spec, self.closed = spec, False

    def close(self):
        """Mark the link as closed."""
        self.closed = True


class FakeTarget:
    """A target that runs as many statements at once as it has slots, others in order of arrival."""

    def __init__(self, *, slots, work, links=32):
        """Create the target and the owner's pool of links to it; work is in seconds."""
        self.work, self.opened, self.most, self.most_chars, self.running = work, 0, 0, 0, 0
        self.slots = asyncio.Semaphore(slots)
        target = Target(name="m", group="g", address="1.1.1.1:1", slots=slots)
        self.pool = LinkPool(target=target, limit=links, link_factory=self)

    async def open(self, spec):
        """Open a link, which takes a slot."""
        self.opened += 1
        async with self.slots:
            await asyncio.sleep(CONNECT_S)
        return FakeLink(spec)

    async def serve(self, arrival):
        """Run one statement, and note when it ended."""
        await asyncio.sleep(arrival.at)
        began = clock.now()
        request = TurnRequest(
            team=arrival.team,
            deadline=began + arrival.budget,
            priority=arrival.priority,
            in_transaction=arrival.in_transaction,
            chars=arrival.chars,
        )
        try:
            async with asyncio.timeout(arrival.leaves_after):
                await self._run(request, arrival)
        except (NotSent, TimeoutError):
            pass
        arrival.ended = clock.now() - began

    async def _run(self, request, arrival):
        scheduler = self.pool.scheduler
        if arrival.in_transaction:
            link, turn = None, await scheduler.begin(request)
        else:
            link, turn = await self.pool.acquire(request)
        self.running += 1
        self.most = max(self.most, self.running)
        self.most_chars = max(self.most_chars, scheduler._schedule._queued_chars)
        sent = clock.now()
        outcome = TurnOutcome.ABANDONED
        try:
            async with self.slots:
                await asyncio.sleep(self.work)
            arrival.ran, outcome = True, TurnOutcome.OK
        finally:
            self.running -= 1
            turn.end(outcome, clock.now() - sent)
            if link is not None:
                self.pool.release(link)


def play(context):
    """Let all arrivals come, and wait until each has ended."""

    async def run():
        context.target = FakeTarget(**context.target_options)
        await asyncio.gather(*(context.target.serve(a) for a in context.arrivals))

    run_virtual(run())


@given("a target with {slots:d} slots whose statements take {ms:d} ms")
def step_target(context, slots, ms):
    context.target_options = {"slots": slots, "work": ms / 1000}
    context.arrivals = []
    context.offset = 0.0


@given("a target with {slots:d} slots whose statements take {ms:d} ms, and {links:d} links")
def step_target_with_links(context, slots, ms, links):
    step_target(context, slots, ms)
    context.target_options["links"] = links


@given("the target has run {count:d} statements")
def step_warm(context, count):
    context.arrivals += [Arrival(at=n * 0.02) for n in range(count)]
    context.offset = count * 0.02 + 0.1


@when("{count:d} statements of priority {priority:d} come at once, each with {budget:g} s left")
def step_at_once(context, count, priority, budget):
    context.latest = [
        Arrival(at=context.offset, priority=priority, budget=budget) for _ in range(count)
    ]
    context.arrivals += context.latest


@when("20 ms later {count:d} statements of priority {priority:d} come, each with {budget:g} s left")
def step_later(context, count, priority, budget):
    context.offset += 0.02
    step_at_once(context, count, priority, budget)


@when(
    "{rate:d} statements a second of priority {priority:d} come for {seconds:d} s, "
    "each with {budget:g} s left"
)
def step_at_rate(context, rate, priority, seconds, budget):
    context.arrivals += [
        Arrival(at=n / rate, priority=priority, budget=budget) for n in range(rate * seconds)
    ]


@when("20 ms later a transaction of priority 2 runs its statement")
def step_transaction(context):
    context.transaction = Arrival(at=context.offset + 0.02, priority=2, in_transaction=True)
    context.arrivals.append(context.transaction)


@when("a team with {large:d} statements a second competes with one of {small:d} a second for 2 s")
def step_teams(context, large, small):
    context.small = [Arrival(at=n / small, team="small") for n in range(2 * small)]
    context.arrivals += [Arrival(at=n / large, team="large") for n in range(2 * large)]
    context.arrivals += context.small


@when(
    "statements of 75 teams, a few of them large, come at twice what it can run for {seconds:d} s"
)
def step_many_teams(context, seconds):
    rng = random.Random(1)
    rate = 2 * context.target_options["slots"] / context.target_options["work"]
    weights = [1 / (n + 1) ** 1.2 for n in range(75)]
    teams = rng.choices(range(75), weights, k=int(rate * seconds))
    context.arrivals += [
        Arrival(at=n / rate, team=f"t{team}", budget=1.0) for n, team in enumerate(teams)
    ]


@when("{count:d} statements come at once and their callers leave at random times")
def step_leave(context, count):
    rng = random.Random(2)
    context.arrivals += [
        Arrival(at=0.0, team=f"t{n % 9}", budget=2.0, leaves_after=rng.uniform(0.0, 0.4))
        for n in range(count)
    ]


@when("{count:d} statements with a text of 1 MiB come at once")
def step_large(context, count):
    context.arrivals += [Arrival(at=0.0, chars=1 << 20, budget=4.0) for _ in range(count)]


@then("at most {count:d} were in progress at once")
def step_most(context, count):
    play(context)
    assert context.target.most <= count, context.target.most


@then("all {count:d} were run")
def step_all_ran(context, count):
    assert sum(a.ran for a in context.arrivals) == count, [a for a in context.arrivals if not a.ran]


@then("at least {count:d} were run")
def step_at_least(context, count):
    assert sum(a.ran for a in context.latest) >= count, sum(a.ran for a in context.latest)


@then("each statement of priority {priority:d} was run within {seconds:g} s")
def step_ran_within(context, priority, seconds):
    play(context)
    times = [a.ended for a in context.arrivals if a.priority == priority]
    assert max(times) <= seconds, sorted(times)


@then("{count:d} or more statements of priority {priority:d} were run")
def step_ran(context, count, priority):
    play(context)
    ran = sum(a.ran for a in context.arrivals if a.priority == priority)
    assert ran >= count, ran


@then("that statement was run within {seconds:g} s")
def step_transaction_ran(context, seconds):
    play(context)
    assert context.transaction.ran and context.transaction.ended <= seconds, context.transaction


@then("the refused ones learned it within {seconds:g} s")
def step_refused_at_once(context, seconds):
    play(context)
    refused = [a.ended for a in context.latest if not a.ran]
    assert refused and max(refused) <= seconds, sorted(refused)


@then("the small team had at least {count:d} statements run")
def step_small_team(context, count):
    play(context)
    ran = sum(a.ran for a in context.small)
    assert ran >= count, ran


@then("links were opened for less than a fifth of the statements that were run")
def step_few_links(context):
    play(context)
    ran = sum(a.ran for a in context.arrivals)
    assert context.target.opened * 5 < ran, (context.target.opened, ran)


@then("no turn is in progress and every link is idle")
def step_nothing_lost(context):
    play(context)
    pool = context.target.pool
    assert pool.scheduler.in_progress == 0 and pool.scheduler.queued == 0
    assert len(pool._idle) == pool.link_count and pool._granted == 0, (pool._idle, pool._granted)


@then("at most 8 MiB of texts waited at once")
def step_bounded_texts(context):
    play(context)
    assert context.target.most_chars <= 8 << 20, context.target.most_chars


@then("less than a tenth of the statements waited until their deadline in vain")
def step_few_in_vain(context):
    play(context)
    in_vain = sum(not a.ran and a.ended >= a.budget for a in context.arrivals)
    assert in_vain * 10 < len(context.arrivals), (in_vain, len(context.arrivals))
