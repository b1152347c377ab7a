"""Steps for a session's transactions and the admission of its operations, without a network."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.records import Configuration, Entry, Freshness, RouteRule, TeamRule
from wagtailloft.groups.dispatch import OpenTransaction
from wagtailloft.metrics import Metrics
from wagtailloft.rates.token_client import SpendResult
from wagtailloft.sessions.admission import Admission
from wagtailloft.sessions.session import Session
from wagtailloft.sessions.statements import Statement, StatementResult, TransactionState, Verb

KEY = "key-1"
DATABASE = "d"
BEGIN = Statement(verb=Verb.BEGIN, text="BEGIN")
READ = Statement(verb=Verb.READ, text="READ 1")


class FakeTokens:
    """A token client that answers after a delay, and may change the configuration meanwhile."""

    def __init__(self, *, delay=0.0, result=SpendResult.GRANTED, during_spend=lambda: None):
        """Take the delay in seconds, the result of spending, and what happens during the delay."""
        self.delay, self.result, self.during_spend = delay, result, during_spend
        self.denied, self.spent = set(), []

    def configure(self, rules, at):
        """Ignore the teams' rates."""

    def was_denied(self, team):
        """Tell whether a test has marked the team as denied."""
        return team in self.denied

    async def spend(self, team, token_wait, owner_wait):
        """Return the result after the delay."""
        await asyncio.sleep(self.delay)
        self.spent.append(team)
        self.during_spend()
        return self.result


class FakeDispatcher:
    """A dispatcher that records the verbs that reach the member."""

    def __init__(self, *, delay=0.0):
        """Take the seconds that opening a transaction takes."""
        self.delay, self.verbs = delay, []

    async def begin(self, context, bound):
        """Open a transaction after the delay."""
        self.verbs.append(bound.statement.verb)
        await asyncio.sleep(self.delay)
        opened = OpenTransaction(
            group="g", target="m", owner="h", transaction_id=1, is_primary=True
        )
        return StatementResult(state=TransactionState.OPEN), opened

    async def run(self, transaction, context, bound):
        """Run a statement of the transaction."""
        self.verbs.append(bound.statement.verb)
        ends = bound.statement.verb is Verb.ROLLBACK
        return StatementResult(state=TransactionState.IDLE if ends else TransactionState.OPEN)


def make_admission(tokens):
    """Return an admission control without configuration, and a function that configures it."""
    cache = SimpleNamespace(
        settings_age=lambda: 0.1, is_fresh=lambda: True, knows_settings=lambda: True
    )
    cache.on_change = lambda topic, action: setattr(cache, "action", action)
    admission = Admission(cache=cache, tokens=tokens, metrics=Metrics(), not_found_max_age=2.0)
    versions = iter(range(1, 100))

    def configure(**keys_by_team):
        route = RouteRule(database=DATABASE, group="g", freshness=Freshness.LATEST)
        teams = tuple(
            TeamRule(name=name, rate=10, burst=10, keys=tuple(admission.digest(k) for k in keys))
            for name, keys in keys_by_team.items()
        )
        value = Configuration(version=next(versions), routes=(route,), teams=teams)
        cache.action(Entry(name="main", revision=value.version, value=value))

    return admission, configure


def make_session(context, tokens, dispatcher):
    """Create the session under test, whose key belongs to team a."""
    context.tokens, context.dispatcher = tokens, dispatcher
    context.admission, context.configure = make_admission(tokens)
    context.configure(a=[KEY])
    context.session = Session(
        name="s1", database=DATABASE, key=KEY, admission=context.admission, dispatcher=dispatcher
    )


@given("a session whose rate tokens and transactions take {seconds:g} s each")
def step_slow_session(context, seconds):
    make_session(context, FakeTokens(delay=seconds), FakeDispatcher(delay=seconds))


@given("a session whose rate tokens are denied after {seconds:g} s")
def step_denied_session(context, seconds):
    tokens = FakeTokens(delay=seconds, result=SpendResult.OVER_RATE)
    make_session(context, tokens, FakeDispatcher())


@given("its team was denied a rate token before")
def step_team_denied(context):
    context.tokens.denied.add("a")


def begin_and_read(context, *, meanwhile):
    """Begin a transaction and read in it; record both results and when they arrived."""

    async def run():
        started = now()
        context.began = await context.session.handle("r1", BEGIN)
        context.began_after = now() - started
        meanwhile()
        context.read = await context.session.handle("r2", READ)
        context.read_after = now() - started
        await asyncio.sleep(0.02)

    asyncio.run(run())


@when("it begins a transaction and reads")
def step_begin_and_read(context):
    begin_and_read(context, meanwhile=lambda: None)


@when("it begins a transaction, its key moves to another team, and it reads")
def step_begin_move_and_read(context):
    begin_and_read(context, meanwhile=lambda: context.configure(a=[], b=[KEY]))


@then("BEGIN is answered within {begin_limit:g} s and the read within {read_limit:g} s")
def step_answered_in_time(context, begin_limit, read_limit):
    assert context.began.ok and context.read.ok, (context.began, context.read)
    assert context.began_after < begin_limit, context.began_after
    assert 0.4 <= context.read_after < read_limit, context.read_after


@then("the read is refused as {kind}, and the member got only BEGIN and ROLLBACK")
def step_read_refused(context, kind):
    assert context.began.ok and context.read.kind is Kind(kind), context.read
    assert not context.read.sent
    assert context.dispatcher.verbs == [Verb.BEGIN, Verb.ROLLBACK], context.dispatcher.verbs


@then("BEGIN is refused as {kind}, and the member got nothing")
def step_begin_refused(context, kind):
    assert context.began.kind is Kind(kind), context.began
    assert context.dispatcher.verbs == [], context.dispatcher.verbs


@given("a key that moves from team a to team b while a rate token is obtained")
def step_key_moves(context):
    context.tokens = FakeTokens(during_spend=lambda: context.configure(a=[], b=[KEY]))
    context.admission, context.configure = make_admission(context.tokens)
    context.configure(a=[KEY], b=[])


@given("a key whose team is removed while a rate token is obtained")
def step_team_removed(context):
    tokens = FakeTokens(result=SpendResult.OVER_RATE, during_spend=lambda: context.configure(b=[]))
    context.admission, context.configure = make_admission(tokens)
    context.configure(a=[KEY])


@when("an operation with the key is admitted")
def step_admit(context):
    digest = context.admission.digest(KEY)
    context.admitted = asyncio.run(context.admission.admit(DATABASE, digest, "r1"))


@then("it runs under team b and spent a rate token of team b")
def step_admitted_under_new_team(context):
    assert context.admitted.team == "b", context.admitted
    assert context.tokens.spent[-1] == "b", context.tokens.spent


@then("it is refused as {kind}")
def step_admission_refused(context, kind):
    assert context.admitted.kind is Kind(kind), context.admitted
