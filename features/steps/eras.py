"""Steps for what a host concludes from the eras of the store."""

import asyncio
import random
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.virtual_time import run_virtual
from wagtailloft import clock
from wagtailloft.controllers.object_cache import Delta, ObjectCache
from wagtailloft.eras import EraMarks
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    EraRecord,
    PrimaryAssignment,
    PromotionLeaseRecord,
    Topic,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.fleet.store_era import ERA_OBJECT
from wagtailloft.groups import promotion_lease
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX, RecordRepair
from wagtailloft.models import Change
from wagtailloft.operations import logbook
from wagtailloft.revisions import make_revision

CHECK_S = 0.2
GROUPS = 20
STEP_S = 0.05


def make_cache(*, assignment_max_age=2.4, store=None, starts_fleet=False):
    """Return a store cache of a host alone in its fleet."""
    mesh = FakeMesh()
    hosts = Hosts(own=make_host(0, 1), mesh=mesh)
    return StoreCache(
        store=store,
        hosts=hosts,
        mesh=mesh,
        max_age=3.3,
        assignment_max_age=assignment_max_age,
        starts_fleet=starts_fleet,
    )


def apply_snapshot(cache, topic, revision, *entries):
    """Let a cache apply a snapshot that is current now."""
    changes = Changes(topic=topic, revision=revision, is_snapshot=True, entries=entries)
    cache.apply(changes, clock.now())


class RecordingStore:
    """A store that accepts every write in one era and records the names written."""

    def __init__(self, *, era):
        """Start at number 100 of an era."""
        self.revision, self.names = make_revision(era, 100), []

    async def put(self, topic, name, value, revision):
        """Store a value at the next revision."""
        self.revision += 1
        self.names.append(name)
        return Entry(name=name, revision=self.revision, value=value)


@given("a coordinator that knows assignments which the store has lost")
def step_lost_assignments(context):
    async def repair():
        cache = make_cache(store=store)
        for number in range(GROUPS):
            group = f"g{number:02}"
            lost = PrimaryAssignment(group=group, epoch=3, settled=True, primary="m", era=1)
            cache.accept_assignment(lost)
        apply_snapshot(cache, Topic.FLEET, make_revision(2, 90))
        record_repair = RecordRepair(cache=cache)
        while not cache.era.is_recorded:
            await record_repair.run_once()
            await asyncio.sleep(CHECK_S)

    store = RecordingStore(era=2)
    run_virtual(repair())
    context.names = store.names


@then("the store gets the record of the era after all of them")
def step_record_comes_last(context):
    lost = [ASSIGNMENT_PREFIX + f"g{number:02}" for number in range(GROUPS)]
    assert sorted(context.names[:-1]) == lost, context.names
    assert context.names[-1] == "era", context.names


@given("a coordinator that has recorded the era")
def step_recorded_era(context):
    context.store = RecordingStore(era=2)
    context.cache = make_cache(store=context.store)
    apply_snapshot(context.cache, Topic.FLEET, make_revision(2, 90))
    record = Entry(name=ERA_OBJECT, revision=make_revision(2, 95), value=EraRecord(era=2))
    apply_snapshot(context.cache, Topic.FLEET, make_revision(2, 95), record)
    assert context.cache.era.is_recorded


@when("a write of the earlier era's record is done late")
def step_late_era_record(context):
    record = Entry(name=ERA_OBJECT, revision=make_revision(2, 96), value=EraRecord(era=1))
    apply_snapshot(context.cache, Topic.FLEET, make_revision(2, 96), record)


@then("the store gets the record of the era again")
def step_record_again(context):
    asyncio.run(RecordRepair(cache=context.cache).run_once())
    assert context.store.names == [ERA_OBJECT], context.store.names
    stored = context.cache.get(Topic.FLEET, ERA_OBJECT)
    assert stored.value == EraRecord(era=2), stored


@given("deployments that allow assignments to be used for 1, 2.4 and 6 s")
def step_deployments(context):
    context.max_ages = (1.0, 2.4, 6.0)


@then("an era's assignments count as complete, and the lease may be taken, only after that time")
def step_beliefs_expire(context):
    async def complete_after(max_age):
        cache = make_cache(assignment_max_age=max_age)
        apply_snapshot(cache, Topic.FLEET, make_revision(1, 90))
        apply_snapshot(cache, Topic.FLEET, make_revision(2, 90))
        started, lease_after, complete = clock.now(), None, None
        while lease_after is None or complete is None:
            await asyncio.sleep(STEP_S)
            apply_snapshot(cache, Topic.FLEET, make_revision(2, 90))
            elapsed = clock.now() - started
            if lease_after is None and cache.era.earlier_beliefs_expired():
                lease_after = elapsed
            if complete is None and cache.assignments_age() < STEP_S:
                complete = elapsed
        return lease_after, complete

    for max_age in context.max_ages:
        lease_after, complete = run_virtual(complete_after(max_age))
        least = max(max_age, promotion_lease.TAKEOVER_WAIT_S)
        assert lease_after > least and complete > max_age, (max_age, lease_after, complete)
        assert max(lease_after, complete) < least + 0.5, (max_age, lease_after, complete)


@given("a host that knows version 16 when the store comes back from a copy with version 10")
def step_older_copy(context):
    context.cache = make_cache()
    write_settings(context.cache, make_revision(1, 30), 16)
    assert not context.cache.knows_settings()
    write_settings(context.cache, make_revision(2, 20), 10)


def write_settings(cache, revision, version):
    """Let a cache read a version of the configuration."""
    value = Configuration(version=version, routes=(), groups=(), teams=(), transaction_idle=1.0)
    apply_snapshot(
        cache, Topic.SETTINGS, revision, Entry(name="main", revision=revision, value=value)
    )


@when("the operator writes version 13")
def step_write_older(context):
    write_settings(context.cache, make_revision(2, 21), 13)


@then("the settings are not known in full before version 16 is written")
def step_known_after_rewrite(context):
    assert not context.cache.knows_settings()
    write_settings(context.cache, make_revision(2, 22), 16)
    assert context.cache.knows_settings()


@given("a process that starts the fleet, and one that does not")
def step_starting_processes(context):
    context.caches = (make_cache(starts_fleet=True), make_cache())


@when("both read the store in era 1")
def step_read_first_era(context):
    read_all(context.caches, 1)


def read_all(caches, era):
    """Let caches read all topics in an era."""
    for cache in caches:
        write_settings(cache, make_revision(era, 30), 10 * era)
        apply_snapshot(cache, Topic.FLEET, make_revision(era, 30))


@then("only the one that starts the fleet knows the settings and assignments in full")
def step_first_is_complete(context):
    starting, other = context.caches
    assert starting.knows_settings() and starting.assignments_valid()
    assert starting.era.earlier_beliefs_expired() and not starting.era.is_recorded
    assert not other.knows_settings() and not other.assignments_valid()
    assert not other.era.earlier_beliefs_expired()


@when("the store comes back in era 2")
def step_read_second_era(context):
    context.known_at = [cache.settings_age() for cache in context.caches]
    read_all(context.caches, 2)


@then("neither counts what it reads as complete")
def step_second_is_incomplete(context):
    for cache, age in zip(context.caches, context.known_at, strict=True):
        assert cache.settings_age() >= age and not cache.era.earlier_beliefs_expired()


@when("both read era 2 of a store that has the record of era 1")
def step_read_earlier_record(context):
    record = Entry(name=ERA_OBJECT, revision=make_revision(2, 20), value=EraRecord(era=1))
    for cache in context.caches:
        write_settings(cache, make_revision(2, 30), 20)
        apply_snapshot(cache, Topic.FLEET, make_revision(2, 30), record)


@then("neither knows the settings and assignments in full")
def step_neither_knows(context):
    for cache in context.caches:
        assert not cache.knows_settings() and not cache.assignments_valid()
        assert not cache.era.earlier_beliefs_expired()


@given("daemons whose first look at the store is at an empty one, in eras {first:d} and {later:d}")
def step_empty_stores(context, first, later):
    context.objects = {era: ObjectCache() for era in (first, later)}
    for era, objects in context.objects.items():
        objects.apply(Delta(revision=make_revision(era, 0), changes=(), whole=True))


@then("only that of era {first:d} takes the store for a new one")
def step_new_store(context, first):
    for era, objects in context.objects.items():
        assert objects.is_first_era() == objects.is_complete() == (era == first), era


@given("hosts whose clocks read up to {seconds:d} s when the store comes back without a record")
def step_clocks(context, seconds):
    rng, context.removed_after = random.Random(1), []
    lease = PromotionLeaseRecord(holder="h01/1")
    entry = Entry(name="duty", revision=make_revision(1, 10), value=lease)

    async def run():
        cache, removed = make_cache(), []
        cache.on_change(Topic.FLEET, lambda e: removed.append(clock.now()))
        apply_snapshot(cache, Topic.FLEET, make_revision(1, 10), entry)
        removed.clear()
        await asyncio.sleep(rng.uniform(0, 1.0))
        began = clock.now()
        apply_snapshot(cache, Topic.FLEET, make_revision(2, 10))
        await asyncio.sleep(2.2)
        context.removed_after.append([at - began for at in removed])

    for _ in range(300):
        # The clock's resolution halves at 2048 s.
        run_virtual(run(), start=seconds - rng.uniform(0.5, 3.5))


@then("each removes the record 2 to 2.1 s later")
def step_removed_in_time(context):
    for times in context.removed_after:
        assert len(times) == 1 and 2.0 <= times[0] <= 2.1, times


@given("a daemon whose store has objects that name their origin in unknown ways")
def step_unknown_origins(context):
    values = (
        b'{"label":"written_in"}',
        b'{"written_in":"x"}',
        b'["written_in",1]',
        b'"written_in"',
    )
    context.changes = tuple(
        Change(kind="key", name=f"k{n}", revision=make_revision(2, n), value=msgspec.Raw(value))
        for n, value in enumerate(values, start=1)
    )
    context.objects = ObjectCache()
    for _ in range(2):
        revision = make_revision(2, context.objects.revision + 10)
        context.objects.apply(Delta(revision=revision, changes=context.changes, whole=True))


@then("the daemon knows all of them, each by the revision that the store gave it")
def step_known_by_revision(context):
    assert context.objects.all("key") == context.changes
    marks = EraMarks(starts=((2, 1),))
    assert [marks.written_at(c) for c in context.changes] == [c.revision for c in context.changes]


@given("logs of a host that met a new era of the store")
def step_era_logs(context):
    lines = (
        "time=1.0 event=store_era_changed store_era=2 before=1",
        "time=2.0 event=assignment_rewritten group=g epoch=3",
        "time=3.0 event=store_era_settled store_era=2",
        "time=4.0 event=changes_ignored topic=settings cached=21 revision=20",
    )
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.log = Path(folder) / "edge-1.log"
    context.log.write_text("\n".join(lines) + "\n")


@then("the timeline names the new era, when it was settled, and what was written again")
def step_timeline_eras(context):
    events = [line.event for line in logbook.timeline([str(context.log)])]
    assert events == ["store_era_changed", "assignment_rewritten", "store_era_settled"], events
