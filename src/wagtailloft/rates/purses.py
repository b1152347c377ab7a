"""This host's tokens: granted by the host that pools the shares, or from its own share."""

import asyncio
import itertools
from collections import defaultdict

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.limits import Ask as BucketAsk
from wagtailloft.controllers.limits import Grant as BucketGrant
from wagtailloft.controllers.limits import Purse
from wagtailloft.errors import NotSent, Silent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, Wire
from wagtailloft.fleet.messages import Ask, Given, Grants, Message, Need
from wagtailloft.fleet.records import TeamRule
from wagtailloft.rates.pool import Pool, Tolerance

RENEW_S = 0.25  # several asks while a share is lent
SOON_S = 0.02  # gathers what waits into one ask
AHEAD_S = 0.35  # tokens for the time until the next ask is answered
ASK_LIMIT_S = 0.4  # a connect and a round trip across zones
SUBJECT = "rates"


class Purses:
    """Spend tokens of teams, and keep enough of them here."""

    def __init__(self, *, hosts: Hosts, mesh: Mesh, tolerance: Tolerance) -> None:
        self._hosts = hosts
        self._pool = Pool(tolerance=tolerance)
        self._purses: dict[str, Purse] = {}
        self._waiters: dict[str, list[asyncio.Future]] = defaultdict(list)
        self._not_before: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._holder = ""
        mesh.serve(Ask, self._asked)

    def configure(self, rules: tuple[TeamRule, ...], at: float) -> None:
        """Take the teams' rates."""
        self._pool.configure(rules, at)
        names = {r.name for r in rules}
        self._purses = {n: p for n, p in self._purses.items() if n in names}

    async def spend(self, team: str, patience: float) -> bool:
        """Use one token; wait so many seconds for one; return whether there was one."""
        at = now()
        purse = self._purse(team)
        if not self._waiters[team] and purse.spend(at):
            return True
        if self._not_before.get(team, 0.0) > at + patience:
            return False
        future = asyncio.get_running_loop().create_future()
        self._waiters[team].append(future)
        self._wake.set()
        try:
            async with asyncio.timeout(patience):
                await future
        except TimeoutError:
            return False
        finally:
            if future in self._waiters[team]:
                self._waiters[team].remove(future)
        return True

    async def run(self) -> None:
        """Ask for tokens, at intervals and when somebody waits."""
        while True:
            try:
                async with asyncio.timeout(RENEW_S):
                    await self._wake.wait()
                    await asyncio.sleep(SOON_S / 4)
            except TimeoutError:
                pass
            self._wake.clear()
            await self._ask()
            if any(self._waiters.values()):
                await asyncio.sleep(SOON_S)
                self._wake.set()

    async def _ask(self) -> None:
        asked = now()
        needs = tuple(self._needs(asked))
        ranked = self._hosts.ranked(SUBJECT)
        holder = ranked[0].name if ranked else self._hosts.own.name
        own = self._hosts.own
        message = Ask(
            host=own.name, process=own.incarnation, number=next(self._numbers), needs=needs
        )
        if holder != self._holder:
            logs.event("rates_holder", holder=holder, before=self._holder)
            self._holder = holder
        if holder == self._hosts.own.name:
            self._take(self._grant(message), asked)
            return
        try:
            answer = await self._hosts.call(holder, message, ASK_LIMIT_S)
        except (NotSent, Silent) as exc:
            logs.warn("rates_unreachable", holder=holder, why=str(exc))
            self._wake.set()
            await asyncio.sleep(SOON_S)
            return
        if isinstance(answer, Grants):
            self._take(answer, asked)

    def _needs(self, at: float) -> list[Need]:
        needs = []
        for team, purse in self._purses.items():
            waiting = len(self._waiters[team])
            held = purse.held(at)
            use = purse.use(at)
            target = waiting + (max(1.0, use * AHEAD_S) if use > 0.05 else 0.0)
            wanted = max(0.0, target - held)
            if self._not_before.get(team, 0.0) > at:
                wanted = 0.0
            if held or wanted:
                needs.append(Need(team=team, held=held, wanted=float(round(wanted + 0.49))))
        return needs

    def _take(self, grants: Grants, asked: float) -> None:
        at = now()
        for given in grants.given:
            purse = self._purse(given.team)
            purse.renew(asked)
            if given.tokens:
                purse.add(BucketGrant(number=0, tokens=given.tokens), asked)
            elif given.wait:
                self._not_before[given.team] = at + given.wait
            waiters = self._waiters[given.team]
            while waiters and purse.spend(at):
                future = waiters.pop(0)
                if not future.done():
                    future.set_result(None)

    def _purse(self, team: str) -> Purse:
        if team not in self._purses:
            self._purses[team] = Purse(team=team, host=self._hosts.own.name)
        return self._purses[team]

    async def _asked(self, wire: Wire, message: Message) -> Message:
        assert isinstance(message, Ask)
        return self._grant(message)

    def _grant(self, message: Ask) -> Grants:
        at = now()
        self._pool.lend(message.host, len(self._hosts.all()), at)
        given = []
        for need in message.needs:
            ask = BucketAsk(
                team=need.team,
                host=f"{message.host}/{message.process}",
                number=message.number,
                held=need.held,
                wanted=need.wanted,
            )
            tokens, wait = self._pool.take(ask, at)
            given.append(Given(team=need.team, tokens=tokens, wait=wait))
        return Grants(given=tuple(given))
