"""Steps of leases over a fake platform and gossip."""

import time

import msgspec
from behave import given, then
from result import Ok

from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.leases import LEASE_DURATION_S, Leases
from wagtailloft.models import Change, Host, Lease

SHARD = "shard-0"


class FakePlatform:
    """Keep objects, and call back in the middle of each write."""

    def __init__(self):
        """Start empty."""
        self.objects = {}
        self.revision = 0
        self.wrote = lambda: None

    def get(self, kind, name, timeout=0.0):
        """Return an object."""
        return Ok(self.objects.get((kind, name)))

    def put(self, kind, name, value, version, timeout=0.0):
        """Write an object."""
        self.revision += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        change = Change(kind=kind, name=name, revision=self.revision, value=raw)
        self.objects[(kind, name)] = change
        self.wrote()
        return Ok(change)


class FakeGossip:
    """Make this host the owner of one shard, in a fleet that does not know of it yet."""

    known = True

    def owners(self, subject):
        """Return this host for the shard alone."""
        return (self.own(),) if subject == SHARD else ()

    def own(self):
        """Return this host."""
        return Host(name="me", ip="10.0.0.1", caller_port=1, peer_port=2, operator_port=3)

    def hears_majority(self):
        """Hear all."""
        return True

    def known_by_majority(self, revision):
        """Tell what the scenario says."""
        return self.known

    def majority_fresh_since(self, since):
        """Be calm."""
        return True

    def exchange_with_all(self):
        """Ask nobody."""


@given("a host that held and released a lease that another host took and lost")
def step_held(context):
    context.platform, context.gossip = FakePlatform(), FakeGossip()
    context.leases = Leases(
        holder="me/1",
        object_api=context.platform,
        gossip=context.gossip,
        catalog=Catalog(objects=ObjectCache(), region="r", zone="z"),
        decisions=Decisions(host="me"),
    )
    context.leases.tick()
    assert context.leases.grant_right(SHARD).granting_from == 0.0
    context.leases.release()
    other = Lease(name=SHARD, holder="other/1", epoch=2)
    context.platform.put("lease", SHARD, other, 0)
    context.leases.tick()
    context.gossip.known = False


@then("taking it again gives no right to grant before a majority knows the epoch")
def step_no_right(context):
    seen = []

    def wrote():
        right = context.leases.grant_right(SHARD)
        seen.append(right is not None and right.granting_from <= time.monotonic())

    context.platform.wrote = wrote
    time.sleep(LEASE_DURATION_S + 0.1)
    for _ in range(3):
        context.leases.tick()
        wrote()
    assert len(seen) >= 4 and not any(seen), seen
