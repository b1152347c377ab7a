"""Steps for parts of a host that can't handle an entry of the store."""

import asyncio
import random

from behave import given, then, when

from features.fake_mesh import FakeMesh, make_host
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    HostRecord,
    TeamRule,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.metrics import Metrics
from wagtailloft.revisions import make_revision
from wagtailloft.sessions.admission import Admission

POLL_S = 1.0
RUN_S = 20.0


class PollableStore:
    """A store that has one snapshot of the fleet, and no later changes."""

    def __init__(self, hosts):
        """List hosts."""
        self._hosts = hosts

    async def changes(self, topic, after, wait):
        """Return the snapshot, or no changes after a wait."""
        revision = make_revision(1, 9)
        entries = ()
        if after:
            await asyncio.sleep(wait or POLL_S)
        elif topic is Topic.FLEET:
            entries = tuple(
                Entry(name=host_record_name(h.name), revision=revision, value=HostRecord(host=h))
                for h in self._hosts
            )
        return Changes(topic=topic, revision=revision, is_snapshot=not after, entries=entries)


@given(
    'a cache of the store whose listener fails for the entry "{odd}" until {until:g} s have passed'
)
def step_failing_listener(context, odd, until):
    context.odd, context.until = host_record_name(odd), until


@when('the store lists "{first}", "{second}" and "{third}" at once')
def step_list(context, first, second, third):
    context.heard, context.complete_at, context.failures = {}, None, []

    async def main():
        own, mesh = make_host(0, 1), FakeMesh()
        listed = [make_host(n, 1) for n in (1, 2, 3)]
        mesh.hosts = {h.ip: h for h in listed}
        cache = StoreCache(
            store=PollableStore(listed),
            hosts=Hosts(own=own, mesh=mesh),
            mesh=mesh,
            max_age=3.0,
            assignment_max_age=2.0,
            starts_fleet=True,
            on_failure=lambda name, exc: context.failures.append(name),
        )
        began = now()

        def listen(entry):
            if entry.name == context.odd and now() < began + context.until:
                raise LookupError("odd entry")
            context.heard.setdefault(entry.name, now() - began)

        cache.on_change(Topic.FLEET, listen)
        tasks = [asyncio.ensure_future(cache.watch_store(t)) for t in Topic]
        while now() < began + RUN_S:
            await asyncio.sleep(0.1)
            if context.complete_at is None and cache.assignments_age() < 5.0:
                context.complete_at = now() - began
        for task in tasks:
            task.cancel()

    random.seed(1)
    run_virtual(main())


@then('the listener has "{first}" and "{second}" at once, and "{odd}" after {limit:g} s')
def step_heard(context, first, second, odd, limit):
    at = {name: context.heard.get(host_record_name(name)) for name in (first, second, odd)}
    assert None not in at.values() and max(at[first], at[second]) < 1.0, at
    assert context.until <= at[odd] <= limit + POLL_S, at
    assert set(context.failures) == {"apply_fleet"}, context.failures


@then("the host does not know all assignments before, but does afterwards")
def step_complete_later(context):
    assert context.complete_at is not None and context.complete_at >= context.until


class FlakyTokens:
    """A token client that fails once to take over teams."""

    def __init__(self):
        """Have no teams."""
        self.calls, self.teams = 0, ()

    def configure(self, teams, at):
        """Fail at the first call."""
        self.calls += 1
        if self.calls == 1:
            raise LookupError("odd teams")
        self.teams = teams


@given("an admission whose token client fails once to take over the teams")
def step_flaky_tokens(context):
    class Cache:
        def on_change(self, topic, action):
            pass

    context.tokens = FlakyTokens()
    context.admission = Admission(
        cache=Cache(), tokens=context.tokens, metrics=Metrics(), not_found_max_age=2.0
    )


@when('a configuration without the key "{key}" is applied twice')
def step_apply(context, key):
    context.digest = Admission.digest(key)
    context.admission._team_by_digest = {context.digest: "t"}
    context.teams = (TeamRule(name="t", keys=(), rate=1.0, burst=1.0),)
    value = Configuration(version=2, teams=context.teams)
    entry = Entry(name="c", revision=1, value=value)
    for _ in range(2):
        try:
            context.admission._apply_configuration(entry)
        except LookupError:
            pass


@then("the key is unknown, and the token client has the teams of the configuration")
def step_applied(context):
    assert context.digest not in context.admission._team_by_digest
    assert context.tokens.teams == context.teams, context.tokens.teams
