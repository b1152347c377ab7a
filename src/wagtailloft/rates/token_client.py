"""Obtain rate tokens from the owner of the token pool, and keep a reserve of them at this host."""

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

REQUEST_INTERVAL_S = 0.25  # allows several requests within the lifetime of a share
BATCH_DELAY_S = 0.002  # batches concurrent demand; short against the 4.5 ms of a hop across zones
RETRY_INTERVAL_S = 0.02  # between two requests while callers wait
PREFETCH_S = 0.35  # covers the usage until the next response arrives
REQUEST_TIMEOUT_S = 0.4  # covers a connect and a round trip across zones
MIN_USE_PER_S = 0.05  # a team with a lower usage at this host gets no prefetched tokens
DENIAL_MEMORY_S = 1.0  # how long after a denial a team counts as being at its limit
TOKEN_POOL_KEY = "rates"  # hashed with the host names; must be the same on all hosts


class SpendResult(Enum):
    """Whether a token was spent.

    UNANSWERED means that the pool did not respond, so it is unknown whether the team is over its
    rate.
    """

    GRANTED = "yes"
    OVER_RATE = "over_rate"
    UNANSWERED = "unanswered"


@dataclass(kw_only=True)
class _Waiter:
    future: asyncio.Future[bool]
    deny_after: float  # from this time on, a response without a token denies the waiter


class TokenClient:
    """Spend rate tokens of teams, and request more from the token pool ahead of demand.

    The host that owns the pool grants them, which may be this host itself.
    """

    def __init__(self, *, hosts: Hosts, mesh: Mesh, tolerance: Tolerance) -> None:
        self._hosts = hosts
        self._pool = TokenPool(tolerance=tolerance)
        self._reserves: dict[str, TokenReserve] = {}
        self._waiters: dict[str, list[_Waiter]] = defaultdict(list)
        self._denied_until: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}
        self._reported_held: set[str] = set()
        self._bursts: dict[str, float] = {}
        self._request_numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._owner = ""
        mesh.register_handler(TokenRequest, self._handle_request)

    def configure(self, rules: tuple[TeamRule, ...], at: float) -> None:
        """Apply the teams' rates."""
        self._pool.configure(rules, at)
        self._bursts = {r.name: r.burst for r in rules}
        self._reserves = {n: r for n, r in self._reserves.items() if n in self._bursts}

    def was_denied(self, team: str) -> bool:
        """Tell whether the pool has lately had no token for a team."""
        return self._denied_until.get(team, 0.0) + DENIAL_MEMORY_S > now()

    def would_refuse(self, team: str, token_wait: float) -> bool:
        """Tell whether spend would refuse a token at once, since the pool has lately had none."""
        at = now()
        reserve = self._reserves.get(team)
        has_token = reserve is not None and not self._waiters.get(team) and reserve.held(at) > 0
        return not has_token and self._is_denied(team, at + token_wait)

    async def spend(self, team: str, token_wait: float, owner_wait: float) -> SpendResult:
        """Spend one token.

        Wait up to token_wait seconds if the pool has no token, and up to owner_wait seconds in all
        if it does not respond.
        """
        at = now()
        reserve = self._reserve(team)
        if not self._waiters[team] and reserve.spend(at):
            return SpendResult.GRANTED
        if self._is_denied(team, at + token_wait):
            return SpendResult.OVER_RATE
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(future=future, deny_after=at + token_wait)
        self._waiters[team].append(waiter)
        self._wake.set()
        try:
            await asyncio.wait([future], timeout=token_wait)
            if not future.done() and self._answered_at.get(team, 0.0) < at:
                await asyncio.wait([future], timeout=max(0.0, owner_wait - token_wait))
        finally:
            if waiter in self._waiters[team]:
                self._waiters[team].remove(waiter)
        if future.done() and future.result():
            return SpendResult.GRANTED
        return (
            SpendResult.OVER_RATE
            if self._answered_at.get(team, 0.0) >= at
            else SpendResult.UNANSWERED
        )

    async def run(self) -> None:
        """Request tokens at intervals, and whenever a caller waits for one."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_INTERVAL_S):
                    await self._wake.wait()
                    await asyncio.sleep(BATCH_DELAY_S)
            except TimeoutError:
                pass
            self._wake.clear()
            await self._request_tokens()
            if any(self._waiters.values()):
                await asyncio.sleep(RETRY_INTERVAL_S)
                self._wake.set()

    async def _request_tokens(self) -> None:
        requested_at = now()
        demands = tuple(self._demands(requested_at))
        ranked = self._hosts.rank_owners(TOKEN_POOL_KEY)
        owner = ranked[0].name if ranked else self._hosts.own.name
        own = self._hosts.own
        message = TokenRequest(
            host=own.name,
            incarnation=own.incarnation,
            number=next(self._request_numbers),
            demands=demands,
        )
        if owner != self._owner:
            # The log key "holder" keeps its earlier name.
            logs.event("token_owner_changed", holder=owner, before=self._owner)
            self._owner = owner
        if owner == self._hosts.own.name:
            self._apply_response(self._grant_tokens(message), requested_at)
            return
        try:
            response = await self._hosts.call(owner, message, REQUEST_TIMEOUT_S)
        except (NotSent, NoResponse) as exc:
            # The log key "holder" keeps its earlier name.
            logs.warn("token_owner_unreachable", holder=owner, why=str(exc))
            self._wake.set()
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if isinstance(response, TokenResponse):
            self._apply_response(response, requested_at)

    def _demands(self, at: float) -> list[TeamDemand]:
        demands = []
        host_count = len(self._hosts.all())
        for team, reserve in self._reserves.items():
            held = reserve.held(at)
            waiting = wanted = 0
            if self._denied_until.get(team, 0.0) <= at:
                waiting = len(self._waiters[team])
                prefetch = self._prefetch_count(team, reserve.usage_rate(at), host_count)
                wanted = max(0, math.ceil(waiting + prefetch - held))
            # After the last held token is spent, this is reported once, so that the pool stops
            # counting the tokens as outstanding.
            if held or wanted or team in self._reported_held:
                demands.append(TeamDemand(team=team, held=held, wanted=wanted, waiting=waiting))
                self._reported_held.discard(team)
            if held:
                self._reported_held.add(team)
        return demands

    def _is_denied(self, team: str, until: float) -> bool:
        return self._denied_until.get(team, 0.0) > until

    def _prefetch_count(self, team: str, usage_rate: float, host_count: int) -> int:
        """Return the number of tokens to hold ahead of demand.

        If the burst has fewer tokens than there are hosts, no spare token is held, since it might
        be needed at another host.
        """
        if usage_rate <= MIN_USE_PER_S:
            return 0
        spare = 1 if host_count <= self._bursts.get(team, 0.0) else 0
        return max(spare, math.floor(usage_rate * PREFETCH_S))

    def _apply_response(self, response: TokenResponse, requested_at: float) -> None:
        at = now()
        host_count = len(self._hosts.all())
        for grant in response.grants:
            self._answered_at[grant.team] = requested_at
            reserve = self._reserve(grant.team)
            reserve.extend(requested_at)
            held = reserve.held(at)
            if grant.tokens:
                reserve.add(Grant(number=0, tokens=grant.tokens), requested_at)
                self._reported_held.add(grant.team)
            elif grant.wait:
                self._denied_until[grant.team] = at + grant.wait
            self._serve_waiters(grant.team, reserve, at)
            # The pool does not count the tokens of waiters as outstanding, so those of waiters
            # that have timed out are discarded.
            reserve.trim_to(
                max(held, self._prefetch_count(grant.team, reserve.usage_rate(at), host_count))
            )

    def _serve_waiters(self, team: str, reserve: TokenReserve, at: float) -> None:
        """Give tokens to waiters, and deny those whose time is up."""
        for waiter in list(self._waiters[team]):
            if waiter.future.done():
                continue
            if reserve.spend(at):
                waiter.future.set_result(True)
            elif waiter.deny_after <= at:
                waiter.future.set_result(False)
                continue
            else:
                return
            self._waiters[team].remove(waiter)

    def _reserve(self, team: str) -> TokenReserve:
        if team not in self._reserves:
            self._reserves[team] = TokenReserve(team=team, host=self._hosts.own.name)
        return self._reserves[team]

    async def _handle_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, TokenRequest)
        return self._grant_tokens(message)

    def _grant_tokens(self, message: TokenRequest) -> TokenResponse:
        at = now()
        self._pool.renew_share(message.host, len(self._hosts.all()), at)
        grants = []
        for demand in message.demands:
            request = GrantRequest(
                team=demand.team,
                host=f"{message.host}/{message.incarnation}",
                number=message.number,
                held=demand.held,
                wanted=demand.wanted,
                waiting=demand.waiting,
            )
            granted = self._pool.grant(request, at)
            if granted is not None:
                grants.append(TeamGrant(team=demand.team, tokens=granted[0], wait=granted[1]))
        return TokenResponse(grants=tuple(grants))
