"""Steps for copies of the store: one host's spread among hosts that are played."""

import asyncio
from collections import defaultdict

from behave import given, then, when

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from wagtailloft.clock import now
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import Changes, Topic
from wagtailloft.fleet.store_cache import StoreCache

ROUNDS_S = 1.2


class AbsentStore:
    """Refuse every call, and count them."""

    def __init__(self):
        """Start without calls."""
        self.calls = 0

    async def changes(self, topic, after, wait):
        """Refuse."""
        self.calls += 1
        raise StoreDown("away")


class PresentStore:
    """Answer reads after the wait that they ask for, and refuse those of some hosts."""

    def __init__(self, *, name, refused):
        """Serve one host."""
        self.name, self.refused = name, refused

    async def changes(self, topic, after, wait):
        """Tell that nothing has changed."""
        await asyncio.sleep(wait)
        if self.name in self.refused:
            raise StoreDown("refused")
        return Changes(topic=topic, revision=1, is_snapshot=not after)


class Played:
    """Hold one host's spread, and play the others."""

    def __init__(self, *, number, count, zones):
        """Build the host and let it know all others."""
        self.mesh, self.store = FakeMesh(), AbsentStore()
        fleet = [make_host(n, zones) for n in range(count)]
        self.mesh.hosts = {h.ip: h for h in fleet}
        self.hosts = Hosts(own=fleet[number], mesh=self.mesh)
        for other in fleet:
            if other is not fleet[number]:
                self.hosts._put(other)
        self.cache = StoreCache(
            store=self.store, hosts=self.hosts, mesh=self.mesh, max_age=3.3, assignment_max_age=2.4
        )

    def start_aged(self, age):
        """Let the own copy be of an age."""
        for topic in Topic:
            self.cache._apply(Changes(topic=topic, revision=1, is_snapshot=True), now() - age)

    def whole(self):
        """Return the hosts from which everything was pulled."""
        return {n for n, topics in self.mesh.pulls.items() if topics == set(Topic)}

    def assignments(self):
        """Return the hosts from which only leads were pulled."""
        return {n for n, topics in self.mesh.pulls.items() if topics == {Topic.FLEET}}


async def play(work, seconds):
    """Run something for some seconds."""
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@given("a host of a fleet of {count:d} hosts in {zones:d} zones")
def step_fleet(context, count, zones):
    context.make = lambda number: Played(number=number, count=count, zones=zones)


@when("the reader of its zone has a copy that is 1.7 s old")
def step_reader_old(context):
    async def check():
        context.played = context.make(20)
        context.played.mesh.ages["h00"] = 1.7
        context.played.start_aged(1.2)
        await play(context.played.cache.pull_from_peers(), ROUNDS_S)

    asyncio.run(check())


@then("it pulls everything from at most {most:d} hosts and nothing from the others")
def step_few(context, most):
    whole = context.played.whole()
    assert {"h00", "h01", "h02", "h03"} <= whole and len(whole) <= most, whole
    assert not context.played.assignments(), context.played.assignments()


@when("the store refuses the first host of each zone")
def step_refuses_firsts(context):
    async def check():
        meshes, refused, caches = {}, set(), []
        fleet = [make_host(n, 3) for n in range(8)]
        for own in fleet:
            meshes[own.ip] = mesh = InProcessMesh(meshes)
            hosts = Hosts(own=own, mesh=mesh)
            for other in fleet:
                if other is not own:
                    hosts._put(other)
            store = PresentStore(name=own.name, refused=refused)
            cache = StoreCache(
                store=store, hosts=hosts, mesh=mesh, max_age=3.3, assignment_max_age=2.4
            )
            caches.append(cache)
        works = [s.pull_from_peers() for s in caches]
        works += [s.watch_store(t) for s in caches for t in Topic]
        tasks = [asyncio.create_task(w) for w in works]
        await asyncio.sleep(1.5)
        refused.update({"h00", "h01", "h02"})
        until = now() + 7.0
        context.oldest = dict.fromkeys(range(8), 0.0)
        while now() < until:
            for number, cache in enumerate(caches):
                context.oldest[number] = max(context.oldest[number], cache.age())
            await asyncio.sleep(0.02)
        context.readers = {s._reader(z) for s in caches for z in ("z0", "z1", "z2")}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(check())


@then("the next hosts read it")
def step_next_read(context):
    assert {"h03", "h04", "h05"} <= context.readers, context.readers


@then(
    "copies are younger than {served:g} s at the hosts that it serves, and than {others:g} s at"
    " the others"
)
def step_ages(context, served, others):
    for number, oldest in context.oldest.items():
        assert oldest < (others if number < 3 else served), context.oldest


@when("no host has heard from the store for 3 s")
def step_away(context):
    async def check():
        context.played = context.make(20)
        context.played.mesh.ages = defaultdict(lambda: 3.0)
        context.played.start_aged(3.0)
        await play(context.played.cache.pull_from_peers(), ROUNDS_S / 2)
        context.majority = context.played.cache.heard_from_majority()

    asyncio.run(check())


@then("it pulls everything from at most {most:d} hosts and only leads from the others")
def step_leads(context, most):
    whole, assignments = context.played.whole(), context.played.assignments()
    assert len(whole) <= most and len(whole) + len(assignments) == 67, (whole, len(assignments))


@then("it hears a majority")
def step_majority(context):
    assert context.majority


@when("no host but the last has heard from the store for 3 s")
def step_last(context):
    async def check():
        context.played = context.make(20)
        context.played.mesh.ages = defaultdict(lambda: 3.0, h67=0.1)
        context.played.start_aged(3.0)
        await play(context.played.cache.pull_from_peers(), 2 * ROUNDS_S)
        context.age = context.played.cache.age()

    asyncio.run(check())


@then("it pulls everything from the last host, and its copy is young")
def step_found(context):
    assert context.played.mesh.pulls["h67"] == set(Topic)
    assert context.age < 1.6, context.age


@when("the store refuses every call for 2 s")
def step_refuses(context):
    async def check(number):
        played = context.make(number)
        played.start_aged(3.0)
        await play(played.cache.watch_store(Topic.SETTINGS), 2.0)
        return played.store.calls

    context.calls, context.first_calls = asyncio.run(check(20)), asyncio.run(check(0))


@then("it made at most {most:d} calls, and the first host of a zone at least {least:d}")
def step_calls(context, most, least):
    assert context.calls <= most, context.calls
    assert context.first_calls >= least, context.first_calls
