"""Steps for claims on promotions, from what a host knows of the others."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.played import FakeMesh, host
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.records import Lead
from wagtailloft.groups.claims import UNFINISHED_S, is_abandoned
from wagtailloft.groups.promotion import Promotion
from wagtailloft.models import HostState


def abandoned(context, waited=0.0, at_work=False):
    """Tell whether the claim may be taken over."""
    return is_abandoned(context.hosts, context.claimant, at_work=at_work, waited=waited)


@given("a host that knows of a promotion begun by another host")
def step_other(context):
    context.hosts = Hosts(own=host(0, 2), mesh=FakeMesh())
    context.other = host(1, 2)
    context.hosts._put(context.other)
    context.claimant = context.other.process
    assert not abandoned(context)


@given("a host that has begun a promotion itself")
def step_own(context):
    context.hosts = Hosts(own=host(0, 2), mesh=FakeMesh())
    context.claimant = context.hosts.own.process


@when("that host starts again as another process")
def step_again(context):
    context.hosts._put(msgspec.structs.replace(context.other, incarnation=2))


@when("that host is suspected")
def step_suspected(context):
    context.hosts._put(msgspec.structs.replace(context.other, state=HostState.SUSPECT))


@then("the promotion may be taken over at once")
def step_at_once(context):
    assert abandoned(context)


@then("the promotion may only be taken over after 8 s")
def step_after(context):
    assert UNFINISHED_S == 8.0
    assert not abandoned(context, waited=7.9) and abandoned(context, waited=8.1)


@given("a host that waits for the duty to replace a primary")
def step_waits(context):
    context.lead = Lead(group="g", epoch=1, settled=True, primary="old", term=1)
    context.writes = []

    async def write(topic, name, value):
        context.writes.append(value)

    context.spread = SimpleNamespace(
        lead=lambda group: context.lead, on_change=lambda *_: None, write=write
    )


@when("another host has replaced it meanwhile")
def step_meanwhile(context):
    async def take():
        context.lead = Lead(group="g", epoch=2, settled=True, primary="new", term=2)
        return True

    promotion = Promotion(
        hosts=Hosts(own=host(0, 2), mesh=FakeMesh()),
        mesh=FakeMesh(),
        spread=context.spread,
        directory=SimpleNamespace(lead_or_first=lambda group: context.lead),
        pools=SimpleNamespace(),
        store=None,
        connect=None,
        promote=None,
        duty=SimpleNamespace(take=take, note=None),
        count=lambda group, why: None,
    )
    asyncio.run(promotion._replace("g", "old", "silent", False))


@then("this host begins nothing")
def step_nothing_begun(context):
    assert context.writes == []


@then("it goes on with it unless it is at work on it")
def step_goes_on_with(context):
    assert abandoned(context) and not abandoned(context, at_work=True)
