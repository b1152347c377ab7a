"""Steps for teams' rates shared over hosts: admission and purses over a pool in this process."""

import asyncio

from behave import then

from wagtailloft.clock import now
from wagtailloft.errors import Kind, NoResponse
from wagtailloft.fleet.records import Configuration, Entry, Freshness, RouteRule, TeamRule
from wagtailloft.metrics import Metrics
from wagtailloft.models import Host
from wagtailloft.rates.token_client import TokenClient
from wagtailloft.rates.token_pool import Tolerance
from wagtailloft.sessions.admission import Admission, AdmittedOperation
from wagtailloft.sessions.statements import OK_NOT_SENT

KEY = "key"
GOAL_S = 0.25
HOP_S = 0.005
TOLERANCE = Tolerance(window=5, excess=0.1, slack=20)


class FakeHosts:
    """Carry calls between purses of one process; the first host holds the pool."""

    def __init__(self, own, fleet):
        """Join a fleet."""
        self.own, self.fleet = own, fleet

    def all(self):
        """Return every host."""
        return tuple(n.hosts.own for n in self.fleet.nodes)

    def rank_owners(self, key):
        """Return the hosts in the same order everywhere."""
        return self.all()

    async def call(self, name, message, limit):
        """Deliver a message after the fleet's delay, if it answers at all."""
        await asyncio.sleep(min(self.fleet.delay, limit))
        if self.fleet.delay > limit:
            raise NoResponse("no answer")
        node = next(n for n in self.fleet.nodes if n.hosts.own.name == name)
        return await node.handler(None, message)


class FakeCache:
    """Keep what admission asks of the copies."""

    def on_change(self, topic, action):
        """Note who wants to know of changes."""
        self.action = action

    def age(self):
        """Return a small age."""
        return 0.1

    def is_fresh(self):
        """Tell that keys may be relied on."""
        return True


class FleetNode:
    """Hold one host's admission and purses."""

    def __init__(self, name, fleet):
        """Build the parts."""
        own = Host(name=name, ip="", caller_port=1, peer_port=1, operator_port=1, incarnation=1)
        self.hosts, self.cache = FakeHosts(own, fleet), FakeCache()
        tokens = TokenClient(hosts=self.hosts, mesh=self, tolerance=TOLERANCE)
        self.tokens = tokens
        self.admission = Admission(
            cache=self.cache, tokens=tokens, metrics=Metrics(), not_found_max_age=2.0
        )

    def register_handler(self, message_type, handler):
        """Take the handler of asks."""
        self.handler = handler

    def configure(self, rate, burst):
        """Put a configuration in force."""
        route = RouteRule(database="d", group="g", freshness=Freshness.LATEST, goal=GOAL_S)
        team = TeamRule(name="t", rate=rate, burst=burst, keys=(self.admission.digest(KEY),))
        value = Configuration(version=1, routes=(route,), teams=(team,))
        self.cache.action(Entry(name="main", revision=1, value=value))

    async def admit(self):
        """Admit one operation; return the outcome's kind, None for one that may run."""
        outcome = await self.admission.admit("d", self.admission.digest(KEY), "r")
        return None if isinstance(outcome, AdmittedOperation) else (outcome or OK_NOT_SENT).kind


class Fleet:
    """Run the purses of several hosts."""

    def __init__(self, count, *, rate, burst, delay=HOP_S, configured=True):
        """Build the hosts; the first, which holds the pool, may not be configured yet."""
        self.delay, self.rate, self.burst = delay, rate, burst
        self.nodes = []
        self.nodes += [FleetNode(f"h{n}", self) for n in range(count)]
        for node in self.nodes if configured else self.nodes[1:]:
            node.configure(rate, burst)

    async def __aenter__(self):
        """Start asking."""
        self.tasks = [asyncio.create_task(n.tokens.run()) for n in self.nodes]
        return self

    async def __aexit__(self, *args):
        """Stop."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@then("an operation is admitted by a pool that answers after {delay:g} s")
def step_late(context, delay):
    async def check():
        async with Fleet(2, rate=1000, burst=1000, delay=delay) as fleet:
            assert await fleet.nodes[1].admit() is None

    asyncio.run(check())


@then("an operation is admitted by a pool that is configured after {delay:g} s")
def step_unconfigured(context, delay):
    async def check():
        async with Fleet(2, rate=1000, burst=1000, configured=False) as fleet:
            asyncio.get_running_loop().call_later(delay, fleet.nodes[0].configure, 1000, 1000)
            assert await fleet.nodes[1].admit() is None

    asyncio.run(check())


@then("an operation without any answer is refused as such after its goal of {goal:g} s")
def step_unanswered(context, goal):
    async def check():
        async with Fleet(2, rate=1000, burst=1000, delay=60.0) as fleet:
            began = now()
            assert await fleet.nodes[1].admit() is Kind.LIMITS_UNAVAILABLE
            assert goal - 0.01 <= now() - began < goal + 0.1, now() - began

    asyncio.run(check())


@then("an operation beyond the rate is refused within a quarter of its goal")
def step_over(context):
    async def check():
        async with Fleet(2, rate=1, burst=1) as fleet:
            kinds = []
            for _ in range(40):
                began = now()
                kinds.append(await fleet.nodes[1].admit())
                assert now() - began < GOAL_S / 4 + 0.04, now() - began
            assert kinds[-1] is Kind.OVER_RATE, kinds

    asyncio.run(check())


@then(
    "{count:d} hosts at {share:d} percent of a rate of {rate:d} and a burst of {burst:d}"
    " refuse nothing in {seconds:d} s"
)
def step_rare(context, count, share, rate, burst, seconds):
    async def check():
        async with Fleet(count, rate=rate, burst=burst) as fleet:
            await asyncio.sleep(1.0)
            total = int(rate * share / 100 * seconds)
            tasks = []
            for number in range(total):
                node = fleet.nodes[1 + number * 7 % (count - 1)]
                tasks.append(asyncio.create_task(node.admit()))
                await asyncio.sleep(seconds / total)
            kinds = await asyncio.gather(*tasks)
            assert kinds == [None] * total, [k for k in kinds if k]

    asyncio.run(check())
