"""A model of hosts and of a store that comes back from older copies, for stateful tests.

The caches, leases, fences and repairs of the hosts are real; the store, the operator, the network
and the clock are models.
"""

import asyncio
import random
from collections import deque
from dataclasses import dataclass
from types import SimpleNamespace

from features.fake_mesh import InProcessMesh, make_host
from features.virtual_time import VirtualTimeLoop
from wagtailloft import clock
from wagtailloft.errors import NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.ports import Conflict, EraChanged, StoreDown
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    HostRecord,
    PrimaryAssignment,
    Target,
    TeamRule,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.counted_hosts import CountedHosts
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.failover import COORDINATOR_KEY
from wagtailloft.groups.fencing import FenceService
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX, RecordRepair
from wagtailloft.models import Role
from wagtailloft.revisions import era_of, make_revision, number_of

HOSTS, ZONES = 4, 2
GROUP = "g"
MEMBERS = ("m0", "m1", "m2")
KEY_BOUND_S = 5.0  # a withdrawn key is refused after this time
MAX_AGE_S = 3.3
ASSIGNMENT_MAX_AGE_S = 2.4
CALL_S = 0.004
POLL_S = 0.1
OBSERVE_S = 0.05
CONVERGE_S = 14.0  # of a fleet without faults, an abandoned failover included
MAX_REWRITE_S = 1.8  # until the operator has written again what a restore lost
COPIES = 200


@dataclass(frozen=True, kw_only=True)
class StoreState:
    """The state of the store at a time."""

    at: float
    number: int
    objects: dict[tuple[Topic, str], Entry]


class ModelStore:
    """The store; it keeps copies of its earlier states. Revisions of its entries are numbers."""

    def __init__(self):
        """Start in era 1 without objects."""
        self.era, self.number, self.objects = 1, 0, {}
        self.down = False
        self.copies = deque(maxlen=COPIES)

    def write(self, topic, name, value):
        """Write an object unconditionally; return its entry."""
        self.copies.append(StoreState(at=clock.now(), number=self.number, objects=self.objects))
        self.number += 1
        entry = Entry(name=name, revision=self.number, value=value)
        self.objects = self.objects | {(topic, name): entry}
        return entry

    def write_if(self, topic, name, value, number):
        """Write an object if it has a number, 0 if it doesn't exist; return its entry or None."""
        known = self.objects.get((topic, name))
        if (known.revision if known else 0) != number:
            return None
        return self.write(topic, name, value)

    def restore(self, seconds):
        """Come back from a copy that is about so many seconds old, in the next era."""
        wanted = clock.now() - seconds
        copies = [c for c in self.copies if c.at >= wanted]
        if copies:
            self.number, self.objects = copies[0].number, copies[0].objects
        self.copies.clear()
        self.era += 1


class StoreClient:
    """One host's access to the store."""

    def __init__(self, *, store, host):
        """Let a host call the store."""
        self._store, self._host = store, host

    async def changes(self, topic, after, wait):
        """Return the whole topic if something changed since a revision, or no changes."""
        until = clock.now() + wait
        while True:
            await self._call()
            same_era = era_of(after) == self._store.era
            entries = self._entries(topic)
            newest = max((number_of(e.revision) for e in entries), default=0)
            revision = make_revision(self._store.era, self._store.number)
            if not after or not same_era or newest > number_of(after):
                return Changes(topic=topic, revision=revision, is_snapshot=True, entries=entries)
            if clock.now() >= until:
                return Changes(topic=topic, revision=revision, is_snapshot=False, entries=())
            await asyncio.sleep(POLL_S)

    async def put(self, topic, name, value, revision):
        """Write an object at a revision; the answer may be lost, or the write done later."""
        await self._call()
        if self._host.fleet.late_writes:
            self._host.fleet.late_writes -= 1
            loop, number = asyncio.get_running_loop(), number_of(revision)
            loop.call_later(3.0, self._store.write_if, topic, name, value, number)
            raise StoreDown("no answer")
        written = self._store.write_if(topic, name, value, number_of(revision))
        if self._host.fleet.lost_answers:
            self._host.fleet.lost_answers -= 1
            raise StoreDown("no answer")
        if era_of(revision) != self._store.era:
            raise EraChanged("another era")
        if written is None:
            known = [e for e in self._entries(topic) if e.name == name]
            raise Conflict(known[0] if known else None)
        return self._with_era(written)

    async def _call(self):
        await asyncio.sleep(CALL_S)
        await self._host.thawed.wait()
        if self._store.down or self._host.refused:
            raise StoreDown("refused")

    def _entries(self, topic):
        found = [e for (t, _), e in self._store.objects.items() if t is topic]
        return tuple(self._with_era(e) for e in found)

    def _with_era(self, entry):
        revision = make_revision(self._store.era, entry.revision)
        return Entry(name=entry.name, revision=revision, value=entry.value)


class ModelMesh(InProcessMesh):
    """A mesh whose host may be cut off from all others, with or without resets, or frozen."""

    def __init__(self, meshes, host):
        """Connect a host to the others."""
        super().__init__(meshes)
        self.host = host

    def connected(self, address):
        """Return False: a failed call makes a host suspected."""
        return False

    async def call(self, address, message, limit):
        """Call another host; raise NotSent if either is cut off or the other is frozen."""
        await asyncio.sleep(CALL_S)
        await self.host.thawed.wait()
        other = self.meshes[address[0]].host
        if self.host.resets or other.resets:
            raise NotSent("[Errno 111] Connect call failed")
        if self.host.cut or other.cut or not other.thawed.is_set():
            await asyncio.sleep(limit)
            raise NotSent("no connection")
        return await super().call(address, message, limit)


class ModelHost:
    """A host with its real cache, lease, fence and repair, in one process after another."""

    def __init__(self, *, fleet, number):
        """Start the host's first process."""
        self.fleet, self.number = fleet, number
        self.cut = self.refused = self.resets = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.incarnation, self.tasks = 0, []
        self.restart()

    def restart(self):
        """Replace the host's process by one that knows nothing."""
        for task in self.tasks:
            task.cancel()
        self.incarnation += 1
        members = [make_host(n, ZONES) for n in range(HOSTS)]
        own = members[self.number]
        record = make_host(self.number, ZONES, incarnation=self.incarnation)
        self.mesh = self.fleet.meshes[own.ip] = self._open_mesh()
        self.hosts = Hosts(own=record, mesh=self.mesh)
        for member in members:
            if member.name != own.name:
                self.hosts._put(member)
        client = self._open_store()
        self.cache = StoreCache(
            store=client,
            hosts=self.hosts,
            mesh=self.mesh,
            max_age=MAX_AGE_S,
            assignment_max_age=ASSIGNMENT_MAX_AGE_S,
        )
        # Unseeded, a failing run could not be repeated.
        self.cache._rng = self.cache._pulls._rng = random.Random(record.process_name)
        self.lease = PromotionLease(own=record, cache=self.cache, has_ended=self.hosts.has_ended)
        self.cache.on_change(Topic.FLEET, self.lease.observe)
        self.cache.on_change(Topic.FLEET, self.hosts.follow_register)
        self.directory = GroupDirectory(cache=self.cache)
        self.fence = FenceService(
            hosts=self.hosts,
            mesh=self.mesh,
            cache=self.cache,
            local_executor=SimpleNamespace(fence=_no_position),
        )
        self.repair = RecordRepair(cache=self.cache)
        self.counted_hosts = CountedHosts(hosts=self.hosts, cache=self.cache)
        self.version = 0
        self.tasks = [asyncio.create_task(self.cache.watch_store(t)) for t in Topic]
        self.tasks.append(asyncio.create_task(self.cache.pull_from_peers()))
        self.tasks.append(asyncio.create_task(self.hosts.retry_suspected()))
        self.tasks.append(asyncio.create_task(self._run_repair()))

    def is_running(self):
        """Tell whether the host's process runs."""
        return self.thawed.is_set()

    def start_failover(self):
        """Replace the group's primary."""
        self.tasks.append(asyncio.create_task(self._fail_over()))

    def _open_mesh(self):
        return ModelMesh(self.fleet.meshes, self)

    def _open_store(self):
        return StoreClient(store=self.fleet.store, host=self)

    async def _run_repair(self):
        while True:
            await asyncio.sleep(0.2)
            first = self.hosts.rank_owners(COORDINATOR_KEY)[0]
            if first.name == self.hosts.own.name and self.cache.age() <= self.cache.max_age:
                await self.repair.run_once()
                await self.counted_hosts.update()

    async def _fail_over(self):
        try:
            await self._try_failover()
        except StoreDown:
            return

    async def _try_failover(self):
        if not self.cache.is_fresh() or not self.directory.targets(GROUP):
            return
        previous = self.cache.assignment(GROUP)
        if not await self.lease.acquire():
            return
        if self.cache.assignment(GROUP) != previous:
            return
        before = self.directory.assignment_or_initial(GROUP)
        claim = PrimaryAssignment(
            group=GROUP,
            epoch=before.epoch + 1,
            settled=False,
            primary="",
            replaced=before.primary or before.replaced,
            claimant=self.hosts.own.process_name,
            era=self.cache.era.era,
        )
        name = ASSIGNMENT_PREFIX + GROUP
        if await self.cache.write(Topic.FLEET, name, claim) is None:
            return
        await self.fence.fence(claim, planned=False)
        if not self.lease.is_held():
            if not await self.lease.acquire():
                return
            await self.cache.read_now(Topic.FLEET)
        if self.cache.assignment(GROUP) != claim or not self.lease.is_held():
            return
        if claim.era != self.cache.era.era:
            await self._try_failover()
            return
        await self.thawed.wait()
        if not self.lease.is_held():
            return
        primary = self.fleet.promote(self)
        settled = PrimaryAssignment(
            group=GROUP, epoch=claim.epoch, settled=True, primary=primary, era=claim.era
        )
        self.cache.accept_assignment(settled)
        await self.cache.write(Topic.FLEET, name, settled)


class ModelFleet:
    """The hosts, the store, the operator and the platform, in virtual time."""

    loop_class = VirtualTimeLoop

    def __init__(self, *, seed):
        """Start the fleet and let it settle."""
        self._loop = self.loop_class()
        asyncio.set_event_loop(self._loop)
        self._real_time = clock.time
        clock.time = SimpleNamespace(clock_gettime=lambda _: self._loop.time(), CLOCK_BOOTTIME=None)
        self.rng = random.Random(seed)
        self.lost_answers = self.late_writes = 0
        self.violations, self.meshes, self.store = [], {}, ModelStore()
        self.primary, self.promotions, self.reports = MEMBERS[0], [], 0
        self.keys, self.withdrawn, self.operator_version = ["k0"], {}, 1
        self.operator_busy = False
        self._write_settings()
        self._write_members()
        self._register_hosts()
        self.store.copies.clear()
        self.hosts = []
        self.run(self._start())
        self.advance(4.0)

    def close(self):
        """Stop all hosts and give the clock back."""
        for host in self.hosts:
            for task in host.tasks:
                task.cancel()
        self._observer.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        clock.time = self._real_time
        asyncio.set_event_loop(None)
        self._loop.close()

    def run(self, coroutine):
        """Run a coroutine."""
        return self._loop.run_until_complete(coroutine)

    def advance(self, seconds):
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    def configure(self, *, withdraw):
        """Write a configuration with a key more, or with one less."""
        if self.store.down or self.operator_busy:
            return
        self.operator_version += 1
        if withdraw and len(self.keys) > 1:
            self.withdrawn[self.keys.pop(0)] = self._loop.time()
        else:
            self.keys.append(f"k{self.operator_version}")
        self._write_settings()

    def restore(self, *, age, outage, restarted):
        """Bring the store back from an older copy; the operator and the members write again."""

        async def come_back():
            await asyncio.sleep(outage)
            self.store.restore(age + outage)
            self.store.down = False
            for host in restarted:
                self.hosts[host].restart()
            await asyncio.sleep(self.rng.uniform(0.0, MAX_REWRITE_S))
            self._write_settings()
            self._write_members()
            self._register_hosts()
            self.operator_busy = False

        if not self.operator_busy:
            self.store.down = self.operator_busy = True
            self.run(self._spawn(come_back()))

    def fail_over(self, host):
        """Let a host replace the primary."""
        self.run(_call(self.hosts[host].start_failover))

    def restart(self, host):
        """Restart a host."""
        self.run(_call(self.hosts[host].restart))

    def refuse(self, host, seconds):
        """Let the store refuse a host for a time."""
        self.hosts[host].refused = True
        self._loop.call_later(seconds, setattr, self.hosts[host], "refused", False)

    def cut(self, host, seconds):
        """Cut a host off from the others for a time."""
        self.hosts[host].cut = True
        self._loop.call_later(seconds, setattr, self.hosts[host], "cut", False)

    def reset(self, host, seconds):
        """Cut a host that goes on running off from the others and the store, with resets."""
        self.refuse(host, seconds)
        self.hosts[host].resets = True
        self._loop.call_later(seconds, setattr, self.hosts[host], "resets", False)

    def pause(self, host, seconds):
        """Freeze a host for a time."""
        self.hosts[host].thawed.clear()
        self._loop.call_later(seconds, self.hosts[host].thawed.set)

    def promote(self, host):
        """Take a promotion order at the platform; return the new primary."""
        token, name = host.lease.fencing_token, host.hosts.own.process_name
        for other, earlier in self.promotions:
            if token < earlier or (token == earlier and other != name):
                self.violations.append(f"token {token} of {name} after {earlier} of {other}")
        self.promotions.append((name, token))
        self.primary = self.rng.choice([m for m in MEMBERS if m != self.primary])
        if not self.store.down:
            self._write_members()
        return self.primary

    def converge(self):
        """End all faults; return what the hosts and the store disagree on after a while."""
        self.lost_answers = self.late_writes = 0
        for host in self.hosts:
            host.cut = host.refused = host.resets = False
            host.thawed.set()
        self.advance(CONVERGE_S)
        wrong = []
        for host in self.hosts:
            cache, name = host.cache, host.hosts.own.name
            if cache.configuration().version != self.operator_version or not cache.is_fresh():
                wrong.append(f"{name} has configuration {cache.configuration().version}")
            if not cache.assignments_valid() or not cache.era.is_recorded:
                wrong.append(f"{name} can't use assignments")
            if cache.assignment(GROUP) != self.hosts[0].cache.assignment(GROUP):
                wrong.append(f"{name} has {cache.assignment(GROUP)}")
        stored = self.store.objects.get((Topic.FLEET, ASSIGNMENT_PREFIX + GROUP))
        known = self.hosts[0].cache.assignment(GROUP)
        if known and known.settled and (stored is None or stored.value != known):
            wrong.append(f"the store has {stored}, the hosts {known}")
        return wrong

    async def _start(self):
        self.hosts = [ModelHost(fleet=self, number=n) for n in range(HOSTS)]
        self._observer = asyncio.create_task(self._observe())

    async def _spawn(self, coroutine):
        self._restoring = asyncio.create_task(coroutine)

    def _write_settings(self):
        team = TeamRule(name="t", rate=1.0, burst=1.0, keys=tuple(self.keys), priority=1)
        value = Configuration(
            version=self.operator_version, routes=(), groups=(), teams=(team,), transaction_idle=1.0
        )
        self.store.write(Topic.SETTINGS, "main", value)

    def _write_members(self):
        self.reports += 1
        for name in MEMBERS:
            role = Role.PRIMARY if name == self.primary else Role.REPLICA
            report = Target(
                name="", group=GROUP, address="1.1.1.1:1", role=role, sequence=self.reports
            )
            self.store.write(Topic.TARGETS, name, report)

    def _register_hosts(self):
        for number in range(HOSTS):
            host = make_host(number, ZONES, incarnation=0)
            self.store.write(Topic.FLEET, host_record_name(host.name), HostRecord(host=host))

    async def _observe(self):
        while True:
            running = [h for h in self.hosts if h.is_running()]
            holders = [h.hosts.own.process_name for h in running if h.lease.is_held()]
            if len(holders) > 1:
                self.violations.append(f"{holders} hold the lease")
            for host in running:
                self._check(host)
            await asyncio.sleep(OBSERVE_S)

    def _check(self, host):
        cache, name = host.cache, host.hosts.own.process_name
        configuration, primary = cache.configuration(), host.directory.primary(GROUP)
        if configuration is not None:
            if configuration.version < host.version:
                self.violations.append(f"{name} went back to {configuration.version}")
            host.version = configuration.version
            if cache.knows_settings() and cache.is_fresh():
                self._check_keys(name, configuration.teams[0].keys)
        if primary and cache.assignments_valid() and primary.name != self.primary:
            self.violations.append(f"{name} uses {primary.name}, not {self.primary}")

    def _check_keys(self, name, keys):
        for key in keys:
            if self._loop.time() > self.withdrawn.get(key, float("inf")) + KEY_BOUND_S:
                self.violations.append(f"{name} accepts the withdrawn {key}")


async def _call(function):
    function()


async def _no_position(assignment, immediate):
    return None
