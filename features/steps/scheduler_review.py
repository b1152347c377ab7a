"""Steps for links, turns and limits on the paths on which a statement is not simply answered."""

import asyncio
import math
from types import SimpleNamespace

from behave import then

from features.steps.evacuation import Host, member
from features.virtual_time import run_virtual
from wagtailloft.clock import now
from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.controllers.scheduling import TurnRequest
from wagtailloft.errors import Kind, NotSent
from wagtailloft.fleet.messages import StatementRequest
from wagtailloft.fleet.records import Entry, PrimaryAssignment, Topic
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.link_use import turn_request_for
from wagtailloft.groups.member_promotion import MemberPromotion
from wagtailloft.groups.pace_control import PaceControl
from wagtailloft.groups.ports import BoundStatement, TargetStatus
from wagtailloft.models import Mode, Role
from wagtailloft.sessions.statements import PreparedStatement, Statement, Verb


class RecordingLimit:
    """A constant limit that records how turns ended."""

    def __init__(self, limit):
        """Allow so many turns at once."""
        self.limit, self.ended = limit, []

    def started(self, at):
        """Ignore the begin of a turn."""

    def finished(self, at, seconds, outcome):
        """Record the end of a turn."""
        self.ended.append((outcome, seconds))


@then("what waits for the pace of a cold member counts neither as slow nor as shed")
def step_pace_is_no_answer_time(context):
    async def play():
        host = Host(bound=0.0)
        host.list_members(m=60.0)
        current = asyncio.create_task(host.stay_current())
        await host.run("m", Verb.WRITE)
        (pool,) = host.executor.pools
        limit = RecordingLimit(20)
        pool.scheduler.replace_limit(limit)
        writes = [host.run("m", Verb.WRITE, budget=1.5) for _ in range(25)]
        results = [r.outcome for r in await asyncio.gather(*writes)]
        current.cancel()
        await asyncio.gather(current, return_exceptions=True)
        assert {r.kind for r in results} >= {None, Kind.TARGET_BUSY}, results
        assert {o for o, _ in limit.ended} == {TurnOutcome.OK, TurnOutcome.ABANDONED}, limit.ended
        assert max(s for _, s in limit.ended) < 0.05, limit.ended

    run_virtual(play())


async def hold_turn(host, target, seconds):
    """Let one statement run that long at a member that may run one at once; return its task."""
    await host.run(target)
    (pool,) = (p for p in host.executor.pools if p.target.name == target)
    pool.scheduler.replace_limit(RecordingLimit(1))
    pool._idle[-1].seconds = seconds
    task = asyncio.create_task(host.run(target, budget=9.0))
    await asyncio.sleep(0.01)
    return task


@then("statements that wait for a fenced primary are refused at once, and no link is opened")
def step_fenced(context):
    async def play():
        host = Host(bound=0.0)
        opened = await host.run("m", Verb.BEGIN_READ, opens_transaction=True)
        running = await hold_turn(host, "m", 5.0)
        (pool,) = host.executor.pools
        links = pool.link_count
        waiting = [asyncio.create_task(host.run("m", Verb.WRITE, budget=3.0)) for _ in range(3)]
        inside = {"request_id": "t", "transaction_id": opened.transaction_id, "budget": 3.0}
        waiting.append(asyncio.create_task(host.run("m", **inside)))
        await asyncio.sleep(0.05)
        claim = PrimaryAssignment(
            group="g", epoch=1, settled=False, primary="", replaced="m", era=1
        )
        host.cache.accept_assignment(claim)
        began = now()
        fence = asyncio.create_task(host.executor.fence(claim, False))
        kinds = [(await w).outcome.kind for w in waiting]
        assert now() - began < 0.1, now() - began
        assert kinds == [Kind.NO_PRIMARY] * 3 + [Kind.TRANSACTION_LOST], kinds
        assert pool.link_count <= links and pool.scheduler.queued == 0
        await asyncio.gather(fence, running)

    run_virtual(play())


@then("a statement whose transaction is rolled back while it waits learns that it is lost")
def step_rolled_back(context):
    async def play():
        host = Host(bound=0.0)
        opened = await host.run("n", Verb.BEGIN_READ, opens_transaction=True)
        running = await hold_turn(host, "n", 0.3)
        inside = {"request_id": "t", "transaction_id": opened.transaction_id}
        waiting = asyncio.create_task(host.run("n", **inside))
        await asyncio.sleep(0.05)
        host.executor.rollback(opened.transaction_id)
        outcome = (await waiting).outcome
        assert outcome.kind is Kind.TRANSACTION_LOST and not outcome.sent, outcome
        await running
        assert host.executor.active == 0 and not host.executor._transactions

    run_virtual(play())


@then("a statement in it that waits for its turn is answered as lost within 1.1 s too")
def step_evacuated_waiter(context):
    async def play():
        host = Host()
        host.read(Topic.EVACUATIONS)
        opened = await host.run("n", Verb.BEGIN_READ, opens_transaction=True)
        running = await hold_turn(host, "n", 4.0)
        current = asyncio.create_task(host.stay_current())
        host.evacuate("b")
        began = now()
        inside = {"request_id": "t", "transaction_id": opened.transaction_id, "budget": 6.0}
        outcome = (await host.run("n", **inside)).outcome
        assert outcome.kind is Kind.TRANSACTION_LOST and now() - began < 1.2, (now(), outcome)
        await running
        current.cancel()
        await asyncio.gather(current, return_exceptions=True)

    run_virtual(play())


@then("a member that is promoted at another owner than the earlier primary's starts slowly, once")
def step_promoted_elsewhere(context):
    directory, pace, pools = make_pace()
    assert [p.scheduler.limit.limit for p in pools] == [8, 8]
    directory.promoted = {"n": now() - 0.1}
    for _ in range(2):
        pace.note_use(pools[1], as_primary=True)
        assert pools[1].scheduler.limit.reason == "promoted"
        before = pools[1].scheduler.limit
        pace.note_use(pools[0], as_primary=True)  # a late request for the earlier primary
        assert pools[0].scheduler.limit.reason == "warm"
        pace.note_use(pools[1], as_primary=True)
        assert pools[1].scheduler.limit is before


@then("one that leads no more may be held below half of its slots again")
def step_leads_no_more(context):
    directory, pace, pools = make_pace()
    pace.note_use(pools[0], as_primary=True)
    pace.note_use(pools[0], as_primary=False)
    assert pools[0].scheduler.limit.is_only_choice
    directory.leading = "n"
    pace.note_use(pools[0], as_primary=False)
    assert not pools[0].scheduler.limit.is_only_choice


def make_pace():
    """Return a directory whose primary is m, the pace of its members m and n, and their pools."""
    directory = SimpleNamespace(promoted={}, leading="m", listed_for=lambda name: 99.0)
    directory.promoted_at = lambda group, name: directory.promoted.get(name, -math.inf)
    directory.primary = lambda group: member(directory.leading)
    pace = PaceControl(directory=directory, adaptive=True)
    targets = [member(name, slots=8) for name in "mn"]
    pools = [
        LinkPool(target=t, limit=32, link_factory=None, concurrency=pace.limit_for(t))
        for t in targets
    ]
    return directory, pace, pools


@then("the pool of a restarted member is kept until its last link is closed")
def step_stale_pool(context):
    async def play():
        host = Host(bound=0.0)
        opening = asyncio.Event()
        factory = host.executor._link_factory
        open_link = factory.open

        async def open_late(spec):
            await opening.wait()
            return await open_link(spec)

        factory.open = open_late
        running = asyncio.create_task(host.run("n"))
        await asyncio.sleep(0.01)
        (pool,) = host.executor.pools
        value = member("n", "b", started=2)
        host.read(Topic.TARGETS, Entry(name="n", revision=1, value=value))
        host.executor.close_stale()
        opening.set()
        await running
        host.executor.close_stale()
        assert pool.link_count == 0 and not host.executor.pools, pool.link_count

    run_virtual(play())


@then("an order that waits for its lease is not sent to a member whose zone is evacuated meanwhile")
def step_evacuated_before_order(context):
    gone, ordered = set(), []
    claim = PrimaryAssignment(group="g", epoch=1, settled=False, primary="", replaced="m")

    async def acquire():
        await asyncio.sleep(1.0)
        gone.add("b")
        return True

    async def send(claim):
        ordered.append(claim)
        return False

    async def record(claim, candidate):
        ordered.append(candidate)
        return claim

    async def play():
        held = iter((False,))
        cache = SimpleNamespace(
            read_now=lambda topic: asyncio.sleep(0),
            era=SimpleNamespace(era=claim.era),
            assignment=lambda group: claim,
        )
        promotion = MemberPromotion(
            directory=SimpleNamespace(cache=cache, target=lambda group, name: member(name, "b")),
            queries=None,
            promotion_api=None,
            lease=SimpleNamespace(is_held=lambda: next(held, True), acquire=acquire),
            is_evacuated=gone.__contains__,
        )
        promotion.orders = SimpleNamespace(
            is_recorded=lambda claim, target: len(ordered) > 0, record=record, send=send
        )
        candidate = TargetStatus(target="n", role=Role.REPLICA, term=0, received=None)
        assert await promotion.promote_and_wait(claim, candidate) is None
        assert not ordered, ordered

    run_virtual(play())


@then("what waits for a link gets one when the pool's cap ends, though no link is released")
def step_cap_ends(context):
    async def play():
        opened = []

        async def open_link(spec):
            opened.append(SimpleNamespace(spec=spec, closed=False))
            if len(opened) == 2:
                exc = NotSent("too many links")
                exc.kind = Kind.TOO_MANY_LINKS
                raise exc
            return opened[-1]

        factory = SimpleNamespace(open=open_link)
        pool = LinkPool(target=member("m", slots=4), limit=16, link_factory=factory)
        began = now()
        _, turn = await pool.acquire(TurnRequest(team="t", deadline=began + 3.0))
        turn.end(TurnOutcome.OK)  # the link stays in a transaction
        try:
            await pool.acquire(TurnRequest(team="t", deadline=began + 3.0))
        except NotSent as exc:
            assert exc.kind is Kind.TOO_MANY_LINKS, exc
        await pool.acquire(TurnRequest(team="t", deadline=began + 3.0))
        assert now() - began < 1.1, now() - began

    run_virtual(play())


@then("the commit is refused as lost and not sent, and its transaction is rolled back")
def step_late_commit(context):
    async def play():
        host = Host(bound=0.0)
        opened = await host.run("n", Verb.BEGIN_READ, opens_transaction=True)
        running = await hold_turn(host, "n", 0.95)
        count = len(host.sent)
        inside = {"request_id": "t", "transaction_id": opened.transaction_id, "budget": 1.0}
        outcome = (await host.run("n", Verb.COMMIT, **inside)).outcome
        assert outcome.kind is Kind.TRANSACTION_LOST and not outcome.sent, outcome
        assert len(host.sent) == count, host.sent
        await running
        assert host.executor.active == 0

    run_virtual(play())


@then("an execution of a prepared statement of 1 MiB counts with its whole size")
def step_prepared_size(context):
    prepared = PreparedStatement(mode=Mode.READ, text="x" * (1 << 20))
    statement = Statement(verb=Verb.EXECUTE, text="", name="s", argument="1", prepared=prepared)
    bound = BoundStatement(request_id="r", statement=statement, session_variables={"a": "bc"})
    request = StatementRequest(group="g", target="m", team="t", bound=bound, budget=1.0)
    turn_request = turn_request_for(request, 1.0, as_primary=False)
    assert turn_request.chars == (1 << 20) + 4, turn_request
