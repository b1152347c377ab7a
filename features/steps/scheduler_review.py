"""Steps for links, turns and limits on the paths on which a statement is not simply answered."""

import asyncio

from behave import then

from features.steps.evacuation import Host
from features.virtual_time import run_virtual
from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.errors import Kind
from wagtailloft.sessions.statements import Verb


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
