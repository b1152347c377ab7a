"""Steps for the store cache of one host in a fleet whose other hosts are fakes."""

import asyncio
import math
import random
from collections import Counter

import msgspec
from behave import given, then, when

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from features.virtual_time import run_virtual, stall
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import HelloReply, ZoneReport
from wagtailloft.fleet.peer_pulls import WIDE_PULL_INTERVAL_S
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import (
    Changes,
    Entry,
    HostRecord,
    PrimaryAssignment,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache

PULL_TIME_S = 1.2
ASSIGNMENT_MAX_AGE_S = 2.4
SEEDED_START_S = 1000.0  # the same in each run, so that a seed's timers fire in the same order
REPORT_INTERVAL_S = 0.25
OBSERVE_INTERVAL_S = 0.1  # a look at all hosts of a fleet costs as much as many of their calls
STALL_PROBABILITY = 0.05  # at each look


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
            store=self.store,
            hosts=self.hosts,
            mesh=self.mesh,
            max_age=3.3,
            assignment_max_age=ASSIGNMENT_MAX_AGE_S,
        )

    def set_cache_age(self, age):
        """Make the host's own cache `age` seconds old."""
        for topic in Topic:
            self.cache.apply(Changes(topic=topic, revision=1, is_snapshot=True), now() - age)

    def full_pull_hosts(self):
        """Return the hosts from which every topic was pulled."""
        return {n for n, topics in self.mesh.pulls.items() if topics == set(self.cache.topics)}

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


@given(
    "{count:d} running fleets of {size:d} hosts in {zones:d} zones, whose processes stall for up to"
    " {stall:g} s"
)
def step_stalling_fleets(context, count, size, zones, stall):
    context.zones, context.stall = zones, stall
    context.fleet_sizes = dict.fromkeys(range(count), size)  # by seed


@when("the store refuses the first host of each zone")
def step_store_refuses_first_hosts(context):
    context.oldest, context.readers = [], []
    for seed, size in context.fleet_sizes.items():
        refused = [f"h{n:02}" for n in range(context.zones)]
        oldest, readers = observe_refusal(seed, size, refused, context.stall)
        context.oldest.append((oldest, refused))
        context.readers.append(readers)


def observe_refusal(seed, size, refused, longest_stall):
    """Let the store refuse the first host of each zone of a fleet after a while.

    Return the oldest that each cache became, and which hosts are thought to read the store.
    """
    rng, zones, oldest, readers = random.Random(seed), len(refused), Counter(), set()

    async def run():
        # Created here, so that the caches are as old in virtual time as they were made.
        fleet = RunningFleet(count=size, zones=zones, age=0.0, seed=seed)
        fleet.refused.clear()
        refused_at = now() + rng.uniform(1.0, 2.5)  # at any time within a long poll

        def observe():
            if now() >= refused_at:
                fleet.refused.update(refused)
            for name, cache in fleet.caches.items():
                oldest[name] = max(oldest[name], cache.age())
            if rng.random() < STALL_PROBABILITY:
                stall(rng.uniform(0, longest_stall))

        await fleet.run(9.5, observe, interval=0.02)
        zone_names = {h.zone for h in fleet.members}
        readers.update(c._pulls._reader(z) for c in fleet.caches.values() for z in zone_names)

    run_virtual(run())
    return oldest, readers


@then("the next hosts of the zones read the store")
def step_next_hosts_read_store(context):
    for readers in context.readers:
        assert {"h03", "h04", "h05"} <= readers, readers


@then(
    "caches are younger than {served:g} s at the hosts that the store serves, and than"
    " {others:g} s at the others"
)
def step_cache_ages(context, served, others):
    for oldest, refused in context.oldest:
        for name, age in oldest.items():
            assert age < (others if name in refused else served), oldest


class CountingMesh(InProcessMesh):
    """An in-process mesh that counts its calls, and reaches only some hosts."""

    def __init__(self, meshes, ip, fleet):
        """Take the meshes of all hosts, and the fleet that tells who reaches whom."""
        super().__init__(meshes)
        self.ip, self.fleet, self.call_count = ip, fleet, 0

    def connected(self, address):
        """Tell whether a host is not cut off from this one."""
        return (self.ip in self.fleet.cut) == (address[0] in self.fleet.cut)

    async def call(self, address, message, limit):
        """Call another host unless it is cut off from this one."""
        self.call_count += 1
        if not self.connected(address):
            await asyncio.sleep(limit)
            raise NoResponse("cut off")
        return await super().call(address, message, limit)


class RunningFleet:
    """Hosts in this process that pull from each other while none of them reaches the store."""

    def __init__(self, *, count, zones, age, seed=None):
        """Create the hosts, with caches `age` seconds old; a seed makes their delays repeatable."""
        self.cut, self.meshes, self.caches, self.refused = set(), {}, {}, set()
        self.members = [make_host(n, zones) for n in range(count)]
        for own in self.members:
            mesh = self.meshes[own.ip] = CountingMesh(self.meshes, own.ip, self)
            hosts = Hosts(own=own, mesh=mesh)
            for other in self.members:
                if other is not own:
                    hosts._put(other)
            cache = self.caches[own.name] = StoreCache(
                store=PartlyAvailableStore(name=own.name, refused=self.refused),
                hosts=hosts,
                mesh=mesh,
                max_age=3.3,
                assignment_max_age=ASSIGNMENT_MAX_AGE_S,
            )
            cache._started -= 10.0
            if seed is not None:
                cache._rng = random.Random(f"{seed} {own.name}")
                cache._pulls._rng = random.Random(f"{own.name} {seed}")
            self.refused.add(own.name)
            self.confirm(own.name, age)

    def confirm(self, name, age):
        """Make a host's cache, in which all hosts are registered, `age` seconds old."""
        records = tuple(
            Entry(name=host_record_name(h.name), revision=1, value=HostRecord(host=h))
            for h in self.members
        )
        for topic in Topic:
            entries = records if topic is Topic.FLEET else ()
            changes = Changes(topic=topic, revision=1, is_snapshot=True, entries=entries)
            self.caches[name].apply(changes, now() - age)

    async def run(self, seconds, observe=lambda: None, interval=OBSERVE_INTERVAL_S):
        """Let all hosts pull for some seconds, and call a function at an interval."""
        coroutines = [c.pull_from_peers() for c in self.caches.values()]
        coroutines += [c.watch_store(t) for c in self.caches.values() for t in Topic]
        tasks = [asyncio.create_task(c) for c in coroutines]
        until = now() + seconds
        while now() < until:
            observe()
            await asyncio.sleep(interval)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@given("a running fleet of {count:d} hosts in {zones:d} zones whose caches are {age:g} s old")
def step_running_fleet(context, count, zones, age):
    context.fleet, context.age = RunningFleet(count=count, zones=zones, age=age), age
    context.start = None


@given(
    "a running fleet of {count:d} hosts in {zones:d} zones whose caches are {age:g} s old, with"
    " delays from seed {seed:d}"
)
def step_seeded_fleet(context, count, zones, age, seed):
    async def start():
        return RunningFleet(count=count, zones=zones, age=age, seed=seed)

    context.fleet, context.age = run_virtual(start(), SEEDED_START_S), age
    context.start = SEEDED_START_S


@when("the store stays unreachable until the caches are {age:g} s old")
def step_outage(context, age):
    context.without_majority = set()

    def observe():
        for name, cache in context.fleet.caches.items():
            if cache.age() > cache.assignment_max_age and not cache.heard_from_majority():
                context.without_majority.add((name, round(cache.age(), 2)))

    run_virtual(context.fleet.run(age - context.age, observe))


@then("every host has heard from a majority from when its cache was 2.4 s old")
def step_all_heard_from_majority(context):
    assert not context.without_majority, sorted(context.without_majority)[:9]


@then(
    "every host asked at most {per_zone:d} hosts of each zone and {more:d} more at a time, and one"
    " of each zone its zone's {zone_size:d} too"
)
def step_few_asked(context, per_zone, more, zone_size):
    rounds = math.ceil(1.6 / (0.9 * WIDE_PULL_INTERVAL_S))
    usual = rounds * (4 * per_zone + more)
    calls = {h.name: context.fleet.meshes[h.ip].call_count for h in context.fleet.members}
    reporters = {h.name for h in context.fleet.members[:4]}
    assert max(calls[n] for n in reporters) <= usual + rounds * zone_size, calls
    assert max(c for n, c in calls.items() if n not in reporters) <= usual, calls


@when(
    "the store stays unreachable and {count:d} hosts are cut off from {rest:d} until the caches"
    " are {age:g} s old"
)
def step_minority_cut_off(context, count, rest, age):
    fleet = context.fleet
    fleet.cut = {h.ip for h in fleet.members[:count]}
    assert len(fleet.members) == count + rest
    context.cut_off = [h.name for h in fleet.members[:count]]
    context.wrong = set()

    def observe():
        for name in context.cut_off:
            cache = fleet.caches[name]
            if cache.age() > 4.6 and cache.heard_from_majority():
                context.wrong.add((name, round(cache.age(), 2)))

    async def run():
        await fleet.run(age - context.age, observe)
        context.majority_heard = [
            c.heard_from_majority() for n, c in fleet.caches.items() if n not in context.cut_off
        ]

    run_virtual(run(), context.start)


@then("the {count:d} hosts have not heard from a majority after their caches were 4.6 s old")
def step_minority_not_heard(context, count):
    assert not context.wrong, sorted(context.wrong)[:9]


@then("the {count:d} hosts have heard from a majority")
def step_majority_heard(context, count):
    assert len(context.majority_heard) == count and all(context.majority_heard)


class ZoneCutMesh(FakeMesh):
    """A mesh that reaches one host of a zone only, whose reporters report themselves."""

    def __init__(self, *, hosts, zone, reachable):
        """Reach all hosts, but of a zone only the one of a name."""
        super().__init__()
        self.hosts, self.zone, self.reachable = hosts, zone, reachable
        self.rounds = {}  # by time, the hosts of the zone that were asked
        self.ages.default_factory = lambda: ASSIGNMENT_MAX_AGE_S

    async def call(self, address, message, limit):
        """Respond, unless the host is one of those cut off."""
        other = self.hosts[address[0]]
        if other.zone == self.zone:
            self.rounds.setdefault(now(), set()).add(other.name)
            if other.name != self.reachable:
                await asyncio.sleep(limit)
                raise NoResponse("cut off")
        response = await super().call(address, message, limit)
        report = ZoneReport(zone=other.zone, ages=bytes(1)) if message.collect else None
        return msgspec.structs.replace(response, zone_report=report)


@when(
    "the store stays unreachable for {seconds:g} s and one host of another zone answers, not its"
    " first"
)
def step_one_host_answers(context, seconds):
    async def check():
        fake_host = context.make_fake_host(20)
        fake_host.hosts._mesh = context.mesh = ZoneCutMesh(
            hosts=fake_host.mesh.hosts, zone="z1", reachable="h41"
        )
        fake_host.cache._pulls._rng = random.Random(1)
        fake_host.cache.store_unreachable = True
        await run_for(fake_host.cache.pull_from_peers(), seconds)

    run_virtual(check())


@then("that host was asked in every round after the first that reached it")
def step_asked_in_every_round(context):
    rounds = [asked for at, asked in sorted(context.mesh.rounds.items()) if "h01" in asked]
    first = next(n for n, asked in enumerate(rounds) if "h41" in asked)
    assert len(rounds) > first + 5 and all("h41" in asked for asked in rounds[first:]), rounds


@when("a host of each zone reports {count:d} hosts, then another of the same zone only itself")
def step_short_reports(context, count):
    async def check():
        fake_host = context.make_fake_host(20)
        reports, since = fake_host.cache._reports, now()
        for ages in (bytes(count), bytes(1)):
            for zone in fake_host.hosts.zones():
                reports.add_zone(ZoneReport(zone=zone, ages=ages), now())
            await asyncio.sleep(REPORT_INTERVAL_S)
        context.heard = {}
        while now() - since < 2 * ASSIGNMENT_MAX_AGE_S:
            for zone in fake_host.hosts.zones():
                reports.add_zone(ZoneReport(zone=zone, ages=bytes(1)), now())
            heard = reports.from_majority(ASSIGNMENT_MAX_AGE_S, own_counts=True, revision=0)
            context.heard[now() - since] = heard
            await asyncio.sleep(REPORT_INTERVAL_S)

    run_virtual(check())


@then(
    "it has heard from a majority until the reports of {count:d} are {age:g} s old, and not after"
)
def step_heard_until(context, count, age):
    assert all(heard == (at <= age) for at, heard in context.heard.items()), context.heard


@when("{count:d} hosts accept an assignment while the store stays unreachable")
def step_majority_accepts(context, count):
    fleet = context.fleet
    assignment = PrimaryAssignment(group="g", epoch=7, settled=False, primary="", replaced="m")

    async def check():
        running = asyncio.create_task(fleet.run(4.5))
        await asyncio.sleep(1.5)
        # Hosts that are cut off from those that accept can't learn of it in another way.
        fleet.cut = {h.ip for h in fleet.members[count:]}
        for host in fleet.members[:count]:
            fleet.caches[host.name].accept_assignment(assignment)
        await asyncio.sleep(2.4)
        context.heard = {n: c.heard_from_majority() for n, c in fleet.caches.items()}
        context.knows = {n for n, c in fleet.caches.items() if c.assignment("g")}
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(check())


@then("2.4 s later every host that has heard from a majority knows the assignment")
def step_majority_knows(context):
    heard = {n for n, from_majority in context.heard.items() if from_majority}
    assert 2 * len(heard) > len(context.heard) and heard <= context.knows, (
        len(heard),
        heard - context.knows,
    )


@when("no host but the last hears from the store for {seconds:g} s")
def step_only_last_host_current(context, seconds):
    fleet = context.fleet
    fleet.refused.remove(fleet.members[-1].name)

    async def run():
        await fleet.run(seconds)
        context.ages = {n: round(c.age(), 2) for n, c in fleet.caches.items()}

    run_virtual(run())


@then("the caches of all hosts are younger than {limit:g} s")
def step_last_host_found(context, limit):
    assert max(context.ages.values()) < limit, context.ages


@when("its cache is 1.7 s old and all hosts have a newer configuration")
def step_newer_configuration(context):
    async def check():
        context.fake_host = context.make_fake_host(20)
        context.fake_host.mesh.revision = 5
        context.fake_host.set_cache_age(1.7)
        await run_for(context.fake_host.cache.pull_from_peers(), PULL_TIME_S / 2)

    asyncio.run(check())


@then("it receives the configuration once")
def step_received_once(context):
    assert context.fake_host.mesh.sent[Topic.SETTINGS] == 1, context.fake_host.mesh.sent


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


class SeedMesh(FakeMesh):
    """A mesh of a host that knows no other; hosts without an entry are down."""

    async def call(self, address, message, limit):
        """Answer a joining host with all hosts, and record which host was asked."""
        self.pulls[address[0]].add("hello")
        if address[0] not in self.hosts:
            raise NotSent("connection refused")
        hosts = tuple(self.hosts.values()) if message.is_joining else ()
        return HelloReply(host=self.hosts[address[0]], known_hosts=hosts)


@given("a new host that the store serves after {seconds:g} s")
def step_new_host_served(context, seconds):
    context.served_after = seconds


@given("a new host that the store does not serve")
def step_new_host_not_served(context):
    context.served_after = None


@when("it joins through 3 seeds of which the first is down")
def step_join(context):
    members = [make_host(n, 2) for n in range(5)]

    async def check():
        mesh = context.mesh = SeedMesh()
        mesh.hosts = {h.ip: h for h in members[1:4]}
        context.hosts = Hosts(own=members[4], mesh=mesh)
        cache = StoreCache(
            store=None,
            hosts=context.hosts,
            mesh=mesh,
            max_age=3.3,
            assignment_max_age=ASSIGNMENT_MAX_AGE_S,
        )
        joining = asyncio.create_task(cache.join_through_seeds(tuple(h.ip for h in members[:3])))
        if context.served_after is not None:
            await asyncio.sleep(context.served_after)
            cache.apply(Changes(topic=Topic.FLEET, revision=1, is_snapshot=True), now())
        await joining

    asyncio.run(check())


@then("it asked no seed")
def step_no_seed_asked(context):
    assert not context.mesh.pulls, context.mesh.pulls


@then("it asked the first two seeds until the second named the fleet's hosts")
def step_seeds_asked(context):
    asked = set(context.mesh.pulls)
    assert {"10.0.0.0", "10.0.0.1"} <= asked, asked
    assert {h.name for h in context.hosts.all()} >= {"h01", "h02", "h03", "h04"}


@when("the store serves the first host again")
def step_store_serves_first(context):
    context.fleet.refused.remove(context.fleet.members[0].name)


@then("{seconds:g} s later the cache of the first host is younger than {limit:g} s")
def step_first_host_current(context, seconds, limit):
    cache = context.fleet.caches[context.fleet.members[0].name]

    async def run():
        await context.fleet.run(seconds)
        return cache.age()

    age = run_virtual(run())
    assert age < limit, age
