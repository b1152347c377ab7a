"""Steps for the exchange of position samples between hosts in one process."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from features.fake_mesh import InProcessMesh, make_host
from wagtailloft.clock import now
from wagtailloft.controllers.ownership import owners
from wagtailloft.errors import NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.groups.sample_exchange import SampleExchange
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.models import Position

GROUP = "g"
PRIMARY = SimpleNamespace(name="primary", zone="z0")


class CountingMesh(InProcessMesh):
    """An in-process mesh that delays calls and records their sender and receiver."""

    def __init__(self, fleet, ip):
        """Take the fleet and the address of the mesh's host."""
        super().__init__(fleet.meshes)
        self.fleet, self.ip = fleet, ip

    async def call(self, address, message, limit):
        """Call another host after half of the delay, and return after the other half."""
        self.fleet.calls.append((self.ip, address[0]))
        if address[0] in self.fleet.unreachable:
            raise NotSent("connect timed out")
        await asyncio.sleep(self.fleet.delay / 2)
        response = await super().call(address, message, limit)
        await asyncio.sleep(self.fleet.delay / 2)
        return response


class SampleFleet:
    """Hosts that each keep samples and exchange them; the first rank owns the primary's links."""

    def __init__(self, count, zones):
        """Create the hosts, which all know each other."""
        self.meshes, self.calls, self.unreachable, self.delay = {}, [], set(), 0.0
        self.members = [make_host(n, zones) for n in range(count)]
        self.samples = {h.name: PositionSamples() for h in self.members}
        self.exchanges = {h.name: self._exchange(h) for h in self.members}
        self.owner = owners(PRIMARY.name, tuple(self.members), PRIMARY.zone)[0]
        self.zones = {h.ip: h.zone for h in self.members}

    def _exchange(self, own):
        mesh = self.meshes[own.ip] = CountingMesh(self, own.ip)
        hosts = Hosts(own=own, mesh=mesh)
        for other in self.members:
            if other is not own:
                hosts._put(other)
        samples = self.samples[own.name]
        directory = SimpleNamespace(primary=lambda group: PRIMARY, samples=lambda group: samples)
        relay = SimpleNamespace(owners=lambda target: hosts.rank_owners(target.name, target.zone))
        return SampleExchange(hosts=hosts, mesh=mesh, directory=directory, relay=relay)

    def collector(self, zone):
        """Return the host that collects the group's samples for a zone."""
        return owners(f"samples-{GROUP}", tuple(self.members), zone)[0]


@given("a fleet of {count:d} hosts in {zones:d} zones whose primary's owner has samples")
def step_fleet_with_samples(context, count, zones):
    context.fleet = SampleFleet(count, zones)
    context.sampled_at = now() - 0.1
    for index in range(5):
        position = Position(term=1, index=index)
        context.fleet.samples[context.fleet.owner.name].add(
            context.sampled_at - (4 - index) * 0.2, position
        )


@given("a fleet of {count:d} hosts in {zones:d} zones whose primary's owner has no samples")
def step_fleet_without_samples(context, count, zones):
    context.fleet = SampleFleet(count, zones)


@given("a fleet of {count:d} hosts in {zones:d} zones whose primary's owner is unreachable")
def step_fleet_owner_unreachable(context, count, zones):
    context.fleet = SampleFleet(count, zones)
    context.fleet.unreachable.add(context.fleet.owner.ip)


@given("calls between hosts take {seconds:g} s")
def step_slow_calls(context, seconds):
    context.fleet.delay = seconds


async def fetch_everywhere(fleet, max_age):
    """Fetch a sample at every host at once; return whether each has one."""
    return await asyncio.gather(*(e.fetch(GROUP, max_age) for e in fleet.exchanges.values()))


@when("every host needs a sample that is at most {max_age:g} s old")
def step_all_fetch(context, max_age):
    context.got = asyncio.run(fetch_everywhere(context.fleet, max_age))


@when("every host needs a sample while a statement at the primary takes {seconds:g} s")
def step_all_fetch_in_flight(context, seconds):
    async def run():
        samples = context.fleet.samples[context.fleet.owner.name]
        sent_at = now()
        samples.statement_sent()

        async def statement():
            await asyncio.sleep(seconds)
            samples.statement_returned()
            samples.add(sent_at, Position(term=1, index=1))

        got, _ = await asyncio.gather(fetch_everywhere(context.fleet, 1.0), statement())
        return got

    context.got = asyncio.run(run())


@then("every host has one")
def step_all_have_sample(context):
    assert all(context.got), context.got


@then("at most {count:d} request of each zone crossed zones")
def step_few_requests_cross_zones(context, count):
    zones = context.fleet.zones
    crossing = [
        zones[sender]
        for sender, receiver in context.fleet.calls
        if zones[sender] != zones[receiver]
    ]
    assert all(crossing.count(zone) <= count for zone in set(crossing)), crossing


@then("no host counts a sample from a later time than the owner does")
def step_samples_not_younger(context):
    true_times = {4 - n: context.sampled_at - n * 0.2 for n in range(5)}
    for name, samples in context.fleet.samples.items():
        if name == context.fleet.owner.name:
            continue
        taken = samples.taken_after(0.0, 0.0)
        assert taken, name
        assert all(at <= true_times[p.index] + 1e-6 for at, p in taken), (name, taken)


@when("the collector of a zone is asked for a sample that is older than half the allowed age")
def step_ask_with_old_sample(context):
    fleet = context.fleet
    fleet.delay = 0.2
    collector = fleet.collector("z1")
    fleet.samples[collector.name].add(now() - 0.7, Position(term=1, index=0))
    other = next(h for h in fleet.members if h.zone == "z1" and h.name != collector.name)

    async def run():
        started = now()
        await fleet.exchanges[other.name].fetch(GROUP, 1.0)
        context.answered_after = now() - started
        await asyncio.sleep(0.5)
        context.renewed_at = now() - fleet.samples[collector.name].newest_age(now())

    asyncio.run(run())


@then("it answers at once, and has a newer sample shortly after")
def step_renewed(context):
    # A collector that asked the owner first would answer after two delays of 0.2 s.
    assert context.answered_after < 0.38, context.answered_after
    assert context.renewed_at >= context.sampled_at - 0.3, context.renewed_at


@when("a host needs a sample several times within 0.2 s")
def step_fetch_unreachable(context):
    fleet = context.fleet
    collector = fleet.collector("z1")

    async def run():
        started = now()
        context.got = [await fleet.exchanges[collector.name].fetch(GROUP, 1.0)]
        context.answered_after = now() - started
        for _ in range(3):
            await asyncio.sleep(0.05)
            context.got.append(await fleet.exchanges[collector.name].fetch(GROUP, 1.0))

    asyncio.run(run())


@then("it got none within {limit:g} s, and asked only once")
def step_asked_once(context, limit):
    assert context.answered_after < limit and not any(context.got), context.got
    assert len(context.fleet.calls) == 1, context.fleet.calls
