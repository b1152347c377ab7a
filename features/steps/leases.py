"""Steps for rate leases and for the age of settings, with fakes of the object API and gossip."""

import random
import time
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when
from result import Err, Ok

from wagtailloft import clock
from wagtailloft.adapters.object_api import WriteConflict
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.freshness import FreshnessTracker, SettingsState
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import Delta, ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.leases import LEASE_DURATION_S, RENEW_INTERVAL_S, Leases
from wagtailloft.models import Change, Host, Lease, LeaseEpoch
from wagtailloft.platform_watcher import PlatformWatcher
from wagtailloft.revisions import make_revision
from wagtailloft.supervision import Supervisor

SHARD = "shard-0"


class FakeObjectApi:
    """Store objects in memory, and call `on_write` after each write, before the response.

    The responses to the next `lost_responses` writes are lost; while `refused`, no write is done.
    """

    def __init__(self):
        """Create an empty store."""
        self.objects = {}
        self.revision = 0
        self.on_write = lambda: None
        self.lost_responses = 0
        self.refused = False

    def get(self, kind, name, timeout=0.0):
        """Return an object."""
        return Ok(self.objects.get((kind, name)))

    def put(self, kind, name, value, version, timeout=0.0):
        """Write an object if it is still at a version; version 0 overwrites any."""
        if self.refused:
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="no response"))
        stored = self.objects.get((kind, name))
        if version and stored is not None and stored.revision != version:
            return Err(WriteConflict(revision=stored.revision, value=stored.value))
        self.revision += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        change = Change(kind=kind, name=name, revision=self.revision, value=raw)
        self.objects[(kind, name)] = change
        self.on_write()
        if self.lost_responses:
            self.lost_responses -= 1
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="no response"))
        return Ok(change)


class FakeGossip:
    """Gossip of a host that owns one shard, in a fleet that may not know its new revision yet."""

    revision_known_by_majority = True
    state = SettingsState.FRESH

    def settings_state(self):
        """Return `state`, which the scenario sets."""
        return self.state

    def owners(self, subject):
        """Return this host for SHARD, and no host for other shards."""
        return (self.own(),) if subject == SHARD else ()

    def own(self):
        """Return this host."""
        return Host(name="me", ip="10.0.0.1", caller_port=1, peer_port=2, operator_port=3)

    def hears_majority(self):
        """Return True: the host hears from a majority."""
        return True

    def known_by_majority(self, revision):
        """Return `revision_known_by_majority`, which the scenario sets."""
        return self.revision_known_by_majority

    def majority_fresh_since(self, since):
        """Return True: a majority has had fresh settings since any time."""
        return True

    def exchange_with_all(self):
        """Ignore the call; the fleet has no other hosts."""


@given("a host that acquired and released a lease that another host then acquired and lost")
def step_lease_taken_over(context):
    start_leases(context)
    context.leases.tick()
    assert context.leases.grant_right(SHARD).granting_from == 0.0
    context.leases.release()
    other = Lease(name=SHARD, holder="other/1", epoch=2)
    context.object_api.put("lease", SHARD, other, 0)
    context.leases.tick()
    context.gossip.revision_known_by_majority = False


def start_leases(context):
    """Create the leases of a host that knows no objects."""
    context.object_api, context.gossip = FakeObjectApi(), FakeGossip()
    context.objects = objects = ObjectCache()
    objects.apply(Delta(revision=1, changes=()))
    context.leases = Leases(
        holder="me/1",
        object_api=context.object_api,
        gossip=context.gossip,
        catalog=Catalog(objects=objects, region="r", zone="z"),
        decisions=Decisions(host="me"),
    )


@then("acquiring it again gives no right to grant before a majority knows the epoch")
def step_no_right_before_majority(context):
    could_grant = []

    def record_right():
        right = context.leases.grant_right(SHARD)
        could_grant.append(right is not None and right.granting_from <= clock.now())

    context.object_api.on_write = record_right
    time.sleep(LEASE_DURATION_S + 0.1)
    for _ in range(3):
        context.leases.tick()
        record_right()
    assert len(could_grant) >= 4 and not any(could_grant), could_grant


def may_grant(context):
    """Tell whether the host may grant tokens now."""
    right = context.leases.grant_right(SHARD)
    return right is not None and right.granting_from <= clock.now()


@when("the store comes back from a copy of when the host held the lease")
def step_restored_lease(context):
    context.object_api.revision = make_revision(1, context.object_api.revision)
    context.object_api.put("lease", SHARD, Lease(name=SHARD, holder="me/1", epoch=1), 0)


@then("for {seconds:g} s the host has no right to grant")
def step_no_right(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        context.leases.tick()
        assert not may_grant(context), context.leases.grant_right(SHARD)
        time.sleep(0.05)


@when("the response is lost to the write that acquires it again, which is done")
def step_lost_acquisition(context):
    time.sleep(LEASE_DURATION_S + 0.1)
    context.object_api.lost_responses = 1
    context.leases.tick()
    assert context.object_api.lost_responses == 0
    context.gossip.revision_known_by_majority = True


@then("the host has no right to grant an epoch that it did not publish")
def step_only_published(context):
    until = time.monotonic() + RENEW_INTERVAL_S * 3
    while time.monotonic() < until:
        context.leases.tick()
        right = context.leases.grant_right(SHARD)
        stored = context.object_api.objects.get(("epoch", SHARD))
        published = stored.decode(LeaseEpoch).epoch if stored else 0
        assert right is None or right.epoch == published, (right, published)
        time.sleep(0.05)
    assert may_grant(context)


@given("a host that granted tokens during an outage and leaves")
def step_leaves_in_outage(context):
    start_leases(context)
    context.leases.tick()
    epoch = context.object_api.objects[("epoch", SHARD)]
    context.objects.apply(Delta(revision=epoch.revision, changes=(epoch,)))
    context.gossip.state = SettingsState.OUTAGE
    assert may_grant(context)


@then("it has no right to grant once the store has the release")
def step_no_right_after_release(context):
    rights = []
    context.object_api.on_write = lambda: rights.append(context.leases.grant_right(SHARD))
    context.leases.release()
    assert rights == [None], rights


@given("a host that acquires a lease")
def step_acquires(context):
    start_leases(context)


@given("a host that holds a lease")
def step_holds_lease(context):
    start_leases(context)
    context.leases.tick()
    context.epoch = context.leases.grant_right(SHARD).epoch


@when("the response is lost to a renewal, which is done")
def step_lost_renewal(context):
    time.sleep(RENEW_INTERVAL_S)
    context.object_api.lost_responses = 1
    context.leases.tick()
    assert context.object_api.lost_responses == 0


@then("the host may grant in the same epoch a second later")
def step_same_epoch(context):
    until = time.monotonic() + RENEW_INTERVAL_S
    while time.monotonic() < until:
        context.leases.tick()
        time.sleep(0.05)
    assert may_grant(context) and context.leases.grant_right(SHARD).epoch == context.epoch


@when("its release gets no response, and it is the owner again")
def step_release_not_done(context):
    context.object_api.refused = True
    context.leases.release()
    context.leases.tick()


@then("it has no right to grant before the store has a renewal")
def step_right_after_renewal(context):
    assert context.leases.grant_right(SHARD) is None
    context.object_api.refused = False
    context.leases.tick()
    assert (
        may_grant(context) and context.object_api.objects[("lease", SHARD)].decode(Lease).renewals
    )


@when(
    "it freezes between acquiring a lease and publishing its epoch, until another holds the lease"
)
def step_frozen_before_epoch(context):
    def take_over():
        context.object_api.on_write = lambda: None
        step_suspended(context, LEASE_DURATION_S + 0.1)
        stored = context.object_api.objects[("lease", SHARD)]
        context.other = Lease(name=SHARD, holder="other/1", epoch=stored.decode(Lease).epoch + 1)
        context.object_api.put("lease", SHARD, context.other, stored.revision)
        epoch = LeaseEpoch(name=SHARD, holder="other/1", epoch=context.other.epoch)
        context.object_api.put("epoch", SHARD, epoch, 0)

    context.object_api.on_write = take_over
    context.leases.tick()


@then("the host has no right to grant in an outage, and the other holder's epoch stays published")
def step_epoch_stays(context):
    epoch = context.object_api.objects[("epoch", SHARD)]
    context.objects.apply(Delta(revision=epoch.revision, changes=(epoch,)))
    context.gossip.state = SettingsState.OUTAGE
    assert context.leases.grant_right(SHARD) is None, context.leases.grant_right(SHARD)
    assert epoch.decode(LeaseEpoch).epoch == context.other.epoch, epoch


@given("a daemon whose settings the platform just confirmed")
def step_confirmed_settings(context):
    objects, freshness = ObjectCache(), FreshnessTracker()
    context.settings = Gossip(
        membership=Membership(own=FakeGossip().own(), rng=random.Random(1)),
        objects=objects,
        freshness=freshness,
        peers=None,
        executor=SimpleNamespace(submit=lambda *call: None),
        decisions=Decisions(host="me"),
    )
    delta = Delta(revision=1, changes=())
    PlatformWatcher(
        object_api=SimpleNamespace(watch=lambda after, wait: Ok(delta)),
        objects=objects,
        freshness=freshness,
        gossip=context.settings,
        supervisor=Supervisor(),
    ).refresh()
    assert context.settings.settings_state() is SettingsState.FRESH


@when("its machine is suspended for {seconds:g} s")
def step_suspended(context, seconds):
    clock_gettime = time.clock_gettime
    context.stack.enter_context(
        patch("time.clock_gettime", lambda clock: clock_gettime(clock) + seconds)
    )


@then("the host has no right to grant at once")
def step_no_right_at_once(context):
    assert context.leases.grant_right(SHARD) is None


@then("its settings are not fresh any more")
def step_settings_not_fresh(context):
    assert context.settings.settings_state() is not SettingsState.FRESH
