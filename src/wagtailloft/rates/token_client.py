"""This host's tokens: granted by the host that pools the shares, or from its own share."""

import asyncio
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.controllers.token_bucket import Grant, GrantRequest, TokenReserve
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import Message, TeamDemand, TeamGrant, TokenRequest, TokenResponse
from wagtailloft.fleet.records import TeamRule
from wagtailloft.rates.token_pool import TokenPool, Tolerance

RENEW_S = 0.25  # several asks while a share is lent
GATHER_S = 0.002  # what comes meanwhile is asked for at once; a hop across zones takes 4.5 ms
SOON_S = 0.02  # between two asks for those that still wait
AHEAD_S = 0.35  # tokens for the time until the next ask is answered
ASK_LIMIT_S = 0.4  # a connect and a round trip across zones
USED_LEAST_S = 0.05  # uses a second below which a team counts as absent here
SUBJECT = "rates"


class SpendResult(Enum):
    """Say whether a token was used; a pool that did not answer says nothing of the rate."""

    YES = "yes"
    OVER_RATE = "over_rate"
    UNANSWERED = "unanswered"


@dataclass(kw_only=True)
class _Waiter:
    future: asyncio.Future[bool]
    until: float  # later, an answer without a token is the last word


class TokenClient:
    """Spend tokens of teams, and keep enough of them here."""

    def __init__(self, *, hosts: Hosts, mesh: Mesh, tolerance: Tolerance) -> None:
        self._hosts = hosts
        self._pool = TokenPool(tolerance=tolerance)
        self._reserves: dict[str, TokenReserve] = {}
        self._waiters: dict[str, list[_Waiter]] = defaultdict(list)
        self._not_before: dict[str, float] = {}
        self._answered: dict[str, float] = {}
        self._holding: set[str] = set()
        self._bursts: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._owner = ""
        mesh.register_handler(TokenRequest, self._asked)

    def configure(self, rules: tuple[TeamRule, ...], at: float) -> None:
        """Take the teams' rates."""
        self._pool.configure(rules, at)
        self._bursts = {r.name: r.burst for r in rules}
        self._reserves = {n: p for n, p in self._reserves.items() if n in self._bursts}

    async def spend(self, team: str, patience: float, limit: float) -> SpendResult:
        """Use one token.

        Wait patience seconds for one if the pool has none, and limit seconds for the pool.
        """
        at = now()
        reserve = self._reserve(team)
        if not self._waiters[team] and reserve.spend(at):
            return SpendResult.YES
        if self._not_before.get(team, 0.0) > at + patience:
            return SpendResult.OVER_RATE
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future=future, until=at + patience)
        self._waiters[team].append(waiter)
        self._wake.set()
        try:
            await asyncio.wait([future], timeout=patience)
            if not future.done() and self._answered.get(team, 0.0) < at:
                await asyncio.wait([future], timeout=max(0.0, limit - patience))
        finally:
            if waiter in self._waiters[team]:
                self._waiters[team].remove(waiter)
        if future.done() and future.result():
            return SpendResult.YES
        return (
            SpendResult.OVER_RATE if self._answered.get(team, 0.0) >= at else SpendResult.UNANSWERED
        )

    async def run(self) -> None:
        """Ask for tokens, at intervals and when somebody waits."""
        while True:
            try:
                async with asyncio.timeout(RENEW_S):
                    await self._wake.wait()
                    await asyncio.sleep(GATHER_S)
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
        ranked = self._hosts.rank_owners(SUBJECT)
        owner = ranked[0].name if ranked else self._hosts.own.name
        own = self._hosts.own
        message = TokenRequest(
            host=own.name, process=own.incarnation, number=next(self._numbers), demands=needs
        )
        if owner != self._owner:
            logs.event("token_owner_changed", holder=owner, before=self._owner)
            self._owner = owner
        if owner == self._hosts.own.name:
            self._take(self._grant(message), asked)
            return
        try:
            answer = await self._hosts.call(owner, message, ASK_LIMIT_S)
        except (NotSent, NoResponse) as exc:
            logs.warn("token_owner_unreachable", holder=owner, why=str(exc))
            self._wake.set()
            await asyncio.sleep(SOON_S)
            return
        if isinstance(answer, TokenResponse):
            self._take(answer, asked)

    def _needs(self, at: float) -> list[TeamDemand]:
        needs = []
        hosts = len(self._hosts.all())
        for team, reserve in self._reserves.items():
            held = reserve.held(at)
            waiting = wanted = 0
            if self._not_before.get(team, 0.0) <= at:
                waiting = len(self._waiters[team])
                ahead = self._ahead(team, reserve.use(at), hosts)
                wanted = max(0, math.ceil(waiting + ahead - held))
            # What was held and is spent is told once, so that the pool does not count it on.
            if held or wanted or team in self._holding:
                needs.append(TeamDemand(team=team, held=held, wanted=wanted, waiting=waiting))
                self._holding.discard(team)
            if held:
                self._holding.add(team)
        return needs

    def _ahead(self, team: str, use: float, hosts: int) -> int:
        """Return how many tokens to hold before anybody asks for them.

        A burst that has no token for each host is not spread over hosts that may not need it.
        """
        if use <= USED_LEAST_S:
            return 0
        spare = 1 if hosts <= self._bursts.get(team, 0.0) else 0
        return max(spare, math.floor(use * AHEAD_S))

    def _take(self, response: TokenResponse, asked: float) -> None:
        at = now()
        hosts = len(self._hosts.all())
        for grant in response.grants:
            self._answered[grant.team] = asked
            reserve = self._reserve(grant.team)
            reserve.renew(asked)
            held = reserve.held(at)
            if grant.tokens:
                reserve.add(Grant(number=0, tokens=grant.tokens), asked)
                self._holding.add(grant.team)
            elif grant.wait:
                self._not_before[grant.team] = at + grant.wait
            self._hand_out(grant.team, reserve, at)
            # Tokens of waiters that have left are not counted by the pool, so they are not kept.
            reserve.keep(max(held, self._ahead(grant.team, reserve.use(at), hosts)))

    def _hand_out(self, team: str, reserve: TokenReserve, at: float) -> None:
        """Give tokens to those that wait, and an end to those that have waited long enough."""
        for waiter in list(self._waiters[team]):
            if waiter.future.done():
                continue
            if reserve.spend(at):
                waiter.future.set_result(True)
            elif waiter.until <= at:
                waiter.future.set_result(False)
                continue
            else:
                return
            self._waiters[team].remove(waiter)

    def _reserve(self, team: str) -> TokenReserve:
        if team not in self._reserves:
            self._reserves[team] = TokenReserve(team=team, host=self._hosts.own.name)
        return self._reserves[team]

    async def _asked(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, TokenRequest)
        return self._grant(message)

    def _grant(self, message: TokenRequest) -> TokenResponse:
        at = now()
        self._pool.lend(message.host, len(self._hosts.all()), at)
        grants = []
        for need in message.demands:
            request = GrantRequest(
                team=need.team,
                host=f"{message.host}/{message.process}",
                number=message.number,
                held=need.held,
                wanted=need.wanted,
                waiting=need.waiting,
            )
            took = self._pool.take(request, at)
            if took is not None:
                grants.append(TeamGrant(team=need.team, tokens=took[0], wait=took[1]))
        return TokenResponse(grants=tuple(grants))
