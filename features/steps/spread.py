"""Steps for the store cache of one host in a fleet whose other hosts are fakes."""

import asyncio
from collections import defaultdict

from behave import given, then, when

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from wagtailloft.clock import now
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import Changes, Topic
from wagtailloft.fleet.store_cache import StoreCache

PULL_TIME_S = 1.2


class UnavailableStore:
    """A store that refuses every call and counts the calls."""

    def __init__(self):
        """Create a store with no calls."""
        self.calls = 0

    async def changes(self, topic, after, wait):
        """Refuse the call."""
        self.calls += 1
        raise StoreDown("the store is unavailable")


class PartlyAvailableStore:
    """A store that answers reads after the requested wait, and refuses those of some hosts."""

    def __init__(self, *, name, refused):
        """Serve the host of the given name; refused is the shared set of names that are refused."""
        self.name, self.refused = name, refused

    async def changes(self, topic, after, wait):
        """Return that nothing has changed."""
        await asyncio.sleep(wait)
        if self.name in self.refused:
            raise StoreDown("the store refuses this host")
        return Changes(topic=topic, revision=1, is_snapshot=not after)


class FakeFleetHost:
    """One host's store cache, with fakes of the store and of all other hosts."""

    def __init__(self, *, number, count, zones):
        """Create host `number` of a fleet of `count` hosts, and make all others known to it."""
        self.mesh, self.store = FakeMesh(), UnavailableStore()
        fleet_hosts = [make_host(n, zones) for n in range(count)]
        self.mesh.hosts = {h.ip: h for h in fleet_hosts}
        self.hosts = Hosts(own=fleet_hosts[number], mesh=self.mesh)
        for other in fleet_hosts:
            if other is not fleet_hosts[number]:
                self.hosts._put(other)
        self.cache = StoreCache(
            store=self.store, hosts=self.hosts, mesh=self.mesh, max_age=3.3, assignment_max_age=2.4
        )

    def set_cache_age(self, age):
        """Make the host's own cache `age` seconds old."""
        for topic in Topic:
            self.cache._apply(Changes(topic=topic, revision=1, is_snapshot=True), now() - age)

    def full_pull_hosts(self):
        """Return the hosts from which every topic was pulled."""
        return {n for n, topics in self.mesh.pulls.items() if topics == set(Topic)}

    def assignment_only_hosts(self):
        """Return the hosts from which only primary assignments were pulled."""
        return {n for n, topics in self.mesh.pulls.items() if topics == {Topic.FLEET}}


async def run_for(coroutine, seconds):
    """Run a coroutine for some seconds, then cancel it."""
    task = asyncio.get_running_loop().create_task(coroutine)
    await asyncio.sleep(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@given("a host of a fleet of {count:d} hosts in {zones:d} zones")
def step_fleet_of_hosts(context, count, zones):
    context.make_fake_host = lambda number: FakeFleetHost(number=number, count=count, zones=zones)


@when("the store reader of its zone has a cache that is 1.7 s old")
def step_old_reader_cache(context):
    async def check():
        context.fake_host = context.make_fake_host(20)
        context.fake_host.mesh.ages["h00"] = 1.7
        context.fake_host.set_cache_age(1.2)
        await run_for(context.fake_host.cache.pull_from_peers(), PULL_TIME_S)

    asyncio.run(check())


@then("it pulls every topic from at most {most:d} hosts and nothing from the others")
def step_full_pulls_only(context, most):
    full = context.fake_host.full_pull_hosts()
    assert {"h00", "h01", "h02", "h03"} <= full and len(full) <= most, full
    assert not context.fake_host.assignment_only_hosts(), context.fake_host.assignment_only_hosts()


@when("the store refuses the first host of each zone")
def step_store_refuses_first_hosts(context):
    async def check():
        meshes, refused, caches = {}, set(), []
        fleet_hosts = [make_host(n, 3) for n in range(8)]
        for own in fleet_hosts:
            meshes[own.ip] = mesh = InProcessMesh(meshes)
            hosts = Hosts(own=own, mesh=mesh)
            for other in fleet_hosts:
                if other is not own:
                    hosts._put(other)
            store = PartlyAvailableStore(name=own.name, refused=refused)
            cache = StoreCache(
                store=store, hosts=hosts, mesh=mesh, max_age=3.3, assignment_max_age=2.4
            )
            caches.append(cache)
        coroutines = [c.pull_from_peers() for c in caches]
        coroutines += [c.watch_store(t) for c in caches for t in Topic]
        tasks = [asyncio.create_task(c) for c in coroutines]
        await asyncio.sleep(1.5)
        refused.update({"h00", "h01", "h02"})
        until = now() + 7.0
        context.oldest = dict.fromkeys(range(8), 0.0)
        while now() < until:
            for number, cache in enumerate(caches):
                context.oldest[number] = max(context.oldest[number], cache.age())
            await asyncio.sleep(0.02)
        context.readers = {c._reader(z) for c in caches for z in ("z0", "z1", "z2")}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(check())


@then("the next hosts of the zones read the store")
def step_next_hosts_read_store(context):
    assert {"h03", "h04", "h05"} <= context.readers, context.readers


@then(
    "caches are younger than {served:g} s at the hosts that the store serves, and than"
    " {others:g} s at the others"
)
def step_cache_ages(context, served, others):
    for number, oldest in context.oldest.items():
        assert oldest < (others if number < 3 else served), context.oldest


@when("no host has heard from the store for 3 s")
def step_store_unreachable(context):
    async def check():
        context.fake_host = context.make_fake_host(20)
        context.fake_host.mesh.ages = defaultdict(lambda: 3.0)
        context.fake_host.set_cache_age(3.0)
        await run_for(context.fake_host.cache.pull_from_peers(), PULL_TIME_S / 2)
        context.heard_from_majority = context.fake_host.cache.heard_from_majority()

    asyncio.run(check())


@then("it pulls every topic from at most {most:d} hosts and only assignments from the others")
def step_assignments_from_all(context, most):
    full, assignments_only = (
        context.fake_host.full_pull_hosts(),
        context.fake_host.assignment_only_hosts(),
    )
    assert len(full) <= most and len(full) + len(assignments_only) == 67, (
        full,
        len(assignments_only),
    )


@then("it has heard from a majority")
def step_heard_from_majority(context):
    assert context.heard_from_majority


@when("no host but the last has heard from the store for 3 s")
def step_only_last_host_current(context):
    async def check():
        context.fake_host = context.make_fake_host(20)
        context.fake_host.mesh.ages = defaultdict(lambda: 3.0, h67=0.1)
        context.fake_host.set_cache_age(3.0)
        await run_for(context.fake_host.cache.pull_from_peers(), 2 * PULL_TIME_S)
        context.cache_age = context.fake_host.cache.age()

    asyncio.run(check())


@then("it pulls every topic from the last host, and its cache is younger than 1.6 s")
def step_last_host_found(context):
    assert context.fake_host.mesh.pulls["h67"] == set(Topic)
    assert context.cache_age < 1.6, context.cache_age


@when("the store refuses every call for 2 s")
def step_store_refuses_all(context):
    async def check(number):
        fake_host = context.make_fake_host(number)
        fake_host.set_cache_age(3.0)
        await run_for(fake_host.cache.watch_store(Topic.SETTINGS), 2.0)
        return fake_host.store.calls

    context.calls, context.first_calls = asyncio.run(check(20)), asyncio.run(check(0))


@then("it made at most {most:d} calls, and the first host of a zone at least {least:d}")
def step_call_counts(context, most, least):
    assert context.calls <= most, context.calls
    assert context.first_calls >= least, context.first_calls
