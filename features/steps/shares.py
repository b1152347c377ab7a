"""Steps for teams' rates shared by several hosts, all run in this process."""

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
PEER_DELAY_S = 0.005
TOLERANCE = Tolerance(window=5, excess=0.1, slack=20)


class FakeHosts:
    """Deliver calls between token clients of one process; the first host owns the token pool."""

    def __init__(self, own, fleet):
        """Create one host's view of a fleet."""
        self.own, self.fleet = own, fleet

    def all(self):
        """Return every host."""
        return tuple(h.hosts.own for h in self.fleet.hosts)

    def rank_owners(self, key):
        """Return the hosts in the same order at every host."""
        return self.all()

    async def call(self, name, message, limit):
        """Deliver a message after the fleet's delay; raise NoResponse if it exceeds limit."""
        await asyncio.sleep(min(self.fleet.delay, limit))
        if self.fleet.delay > limit:
            raise NoResponse("no response")
        host = next(h for h in self.fleet.hosts if h.hosts.own.name == name)
        return await host.handler(None, message)


class FakeStoreCache:
    """A store cache that only delivers configurations and is always fresh."""

    def on_change(self, topic, action):
        """Register the callback for changed entries."""
        self.action = action

    def settings_age(self):
        """Return an age in seconds that is far below any limit."""
        return 0.1

    def knows_settings(self):
        """Return True: the configuration is the latest."""
        return True

    def is_fresh(self):
        """Return True: the keys are recent enough to be used."""
        return True


class FakeHost:
    """One host's admission control and token client."""

    def __init__(self, name, fleet):
        """Create a host without configuration."""
        own = Host(name=name, ip="", caller_port=1, peer_port=1, operator_port=1, incarnation=1)
        self.hosts, self.cache = FakeHosts(own, fleet), FakeStoreCache()
        tokens = TokenClient(hosts=self.hosts, mesh=self, tolerance=TOLERANCE)
        self.tokens = tokens
        self.admission = Admission(
            cache=self.cache, tokens=tokens, metrics=Metrics(), not_found_max_age=2.0
        )

    def register_handler(self, message_type, handler):
        """Register the handler of token requests."""
        self.handler = handler

    def configure(self, rate, burst):
        """Apply a configuration with one route and one team."""
        route = RouteRule(database="d", group="g", freshness=Freshness.LATEST, goal=GOAL_S)
        team = TeamRule(name="t", rate=rate, burst=burst, keys=(self.admission.digest(KEY),))
        value = Configuration(version=1, routes=(route,), teams=(team,))
        self.cache.action(Entry(name="main", revision=1, value=value))

    async def admit(self):
        """Admit one operation; return the kind of the refusal, None if it is admitted."""
        outcome = await self.admission.admit("d", self.admission.digest(KEY), "r")
        return None if isinstance(outcome, AdmittedOperation) else (outcome or OK_NOT_SENT).kind


class FakeTokenFleet:
    """Run the token clients of several hosts, with a delay in seconds for calls between them."""

    def __init__(self, count, *, rate, burst, delay=PEER_DELAY_S, configured=True):
        """Create the hosts; the first, the pool's owner, may be left unconfigured."""
        self.delay, self.rate, self.burst = delay, rate, burst
        self.hosts = []
        self.hosts += [FakeHost(f"h{n}", self) for n in range(count)]
        for host in self.hosts if configured else self.hosts[1:]:
            host.configure(rate, burst)

    async def __aenter__(self):
        """Start the token clients."""
        self.tasks = [asyncio.create_task(h.tokens.run()) for h in self.hosts]
        return self

    async def __aexit__(self, *args):
        """Stop the token clients."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@then("an operation is admitted if the token pool responds after {delay:g} s")
def step_admitted_after_late_response(context, delay):
    async def check():
        async with FakeTokenFleet(2, rate=1000, burst=1000, delay=delay) as fleet:
            assert await fleet.hosts[1].admit() is None

    asyncio.run(check())


@then("an operation is admitted if the token pool is configured after {delay:g} s")
def step_admitted_after_configuration(context, delay):
    async def check():
        async with FakeTokenFleet(2, rate=1000, burst=1000, configured=False) as fleet:
            asyncio.get_running_loop().call_later(delay, fleet.hosts[0].configure, 1000, 1000)
            assert await fleet.hosts[1].admit() is None

    asyncio.run(check())


@then(
    "an operation without a response is refused as limits_unavailable after its goal of {goal:g} s"
)
def step_refused_without_response(context, goal):
    async def check():
        async with FakeTokenFleet(2, rate=1000, burst=1000, delay=60.0) as fleet:
            began = now()
            assert await fleet.hosts[1].admit() is Kind.LIMITS_UNAVAILABLE
            assert goal - 0.01 <= now() - began < goal + 0.1, now() - began

    asyncio.run(check())


@then("an operation over the rate is refused as over_rate within a quarter of its goal")
def step_over_rate_refused_early(context):
    async def check():
        async with FakeTokenFleet(2, rate=1, burst=1) as fleet:
            kinds = []
            for _ in range(40):
                began = now()
                kinds.append(await fleet.hosts[1].admit())
                assert now() - began < GOAL_S / 4 + 0.04, now() - began
            assert kinds[-1] is Kind.OVER_RATE, kinds

    asyncio.run(check())


@then(
    "{count:d} hosts at {share:d} percent of a rate of {rate:d} and a burst of {burst:d}"
    " refuse nothing in {seconds:d} s"
)
def step_low_usage_admitted(context, count, share, rate, burst, seconds):
    async def check():
        async with FakeTokenFleet(count, rate=rate, burst=burst) as fleet:
            await asyncio.sleep(1.0)
            total = int(rate * share / 100 * seconds)
            tasks = []
            for number in range(total):
                host = fleet.hosts[1 + number * 7 % (count - 1)]
                tasks.append(asyncio.create_task(host.admit()))
                await asyncio.sleep(seconds / total)
            kinds = await asyncio.gather(*tasks)
            assert kinds == [None] * total, [k for k in kinds if k]

    asyncio.run(check())
