"""Steps for rate leases with fakes of the object API and gossip."""

import time

import msgspec
from behave import given, then
from result import Ok

from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import Delta, ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.leases import LEASE_DURATION_S, Leases
from wagtailloft.models import Change, Host, Lease

SHARD = "shard-0"


class FakeObjectApi:
    """Store objects in memory, and call `on_write` after each write, before the response."""

    def __init__(self):
        """Create an empty store."""
        self.objects = {}
        self.revision = 0
        self.on_write = lambda: None

    def get(self, kind, name, timeout=0.0):
        """Return an object."""
        return Ok(self.objects.get((kind, name)))

    def put(self, kind, name, value, version, timeout=0.0):
        """Write an object, whatever its version."""
        self.revision += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        change = Change(kind=kind, name=name, revision=self.revision, value=raw)
        self.objects[(kind, name)] = change
        self.on_write()
        return Ok(change)


class FakeGossip:
    """Gossip of a host that owns one shard, in a fleet that may not know its new revision yet."""

    revision_known_by_majority = True

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
    context.object_api, context.gossip = FakeObjectApi(), FakeGossip()
    objects = ObjectCache()
    objects.apply(Delta(revision=1, changes=()))
    context.leases = Leases(
        holder="me/1",
        object_api=context.object_api,
        gossip=context.gossip,
        catalog=Catalog(objects=objects, region="r", zone="z"),
        decisions=Decisions(host="me"),
    )
    context.leases.tick()
    assert context.leases.grant_right(SHARD).granting_from == 0.0
    context.leases.release()
    other = Lease(name=SHARD, holder="other/1", epoch=2)
    context.object_api.put("lease", SHARD, other, 0)
    context.leases.tick()
    context.gossip.revision_known_by_majority = False


@then("acquiring it again gives no right to grant before a majority knows the epoch")
def step_no_right_before_majority(context):
    could_grant = []

    def record_right():
        right = context.leases.grant_right(SHARD)
        could_grant.append(right is not None and right.granting_from <= time.monotonic())

    context.object_api.on_write = record_right
    time.sleep(LEASE_DURATION_S + 0.1)
    for _ in range(3):
        context.leases.tick()
        record_right()
    assert len(could_grant) >= 4 and not any(could_grant), could_grant
