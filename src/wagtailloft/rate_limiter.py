"""Limit each team to its rate and burst over all hosts, with rate tokens from the token owner."""

import threading
import time
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft import clock
from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.ownership import rate_shard
from wagtailloft.controllers.token_bucket import Grant, GrantRequest, TokenBucket, TokenReserve
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.leases import Leases
from wagtailloft.metrics import Metrics
from wagtailloft.models import Team

MAX_OVER_RATE_WAIT_S = 0.5
RETRY_DELAY_S = 0.05
USAGE_REPORT_INTERVAL_S = 0.05
TOKEN_TIMEOUT_S = 0.5


@dataclass(kw_only=True)
class _TeamBucket:
    """A team's bucket and the lease epoch in which it was created."""

    bucket: TokenBucket
    epoch: int


class TokenGranter:
    """Grant rate tokens to the teams of the shards whose leases this host holds."""

    def __init__(self, *, leases: Leases, catalog: Catalog, metrics: Metrics) -> None:
        self._leases = leases
        self._catalog = catalog
        self._metrics = metrics
        self._lock = threading.Lock()
        self._buckets: dict[str, _TeamBucket] = {}

    def grant(self, request: GrantRequest) -> Result[Grant, Refusal]:
        """Grant tokens to the host that requests them.

        Refuse with LIMITS_UNAVAILABLE while this host has no right to grant, or if this or a later
        request of the host was answered already.
        """
        right = self._leases.grant_right(rate_shard(request.team))
        if right is None:
            return Err(
                Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="this host does not hold the lease")
            )
        now = clock.now()
        if now < right.granting_from:
            return Err(
                Refusal(
                    kind=Kind.LIMITS_UNAVAILABLE,
                    detail="tokens of an earlier lease holder may still be valid",
                )
            )
        team = self._catalog.find(Team, request.team) or Team(name=request.team)
        with self._lock:
            bucket = self._bucket(team, right.epoch, right.granting_from, now)
            grant = bucket.grant(request, now)
            self._metrics.tokens_out.labels(team.name).set(bucket.outstanding)
        if grant is None:
            return Err(
                Refusal(
                    kind=Kind.LIMITS_UNAVAILABLE,
                    detail="this or a later token request was answered already",
                )
            )
        return Ok(grant)

    def _bucket(self, team: Team, epoch: int, granting_from: float, now: float) -> TokenBucket:
        entry = self._buckets.get(team.name)
        if entry is None or entry.epoch != epoch:
            bucket = TokenBucket(team=team, now=now, blocked_until=granting_from)
            entry = _TeamBucket(bucket=bucket, epoch=epoch)
            self._buckets[team.name] = entry
        if entry.bucket.team != team:
            entry.bucket.reconfigure(team, now)
        return entry.bucket


@dataclass(kw_only=True)
class _TeamTokens:
    """A team's reserve at this host; request_lock lets one request for tokens run at a time."""

    reserve: TokenReserve
    lock: threading.Lock = field(default_factory=threading.Lock)
    request_lock: threading.Lock = field(default_factory=threading.Lock)
    waiters: int = 0


class RateLimiter:
    """Admit requests at an entry against rate tokens from the token owner."""

    def __init__(
        self, *, requester_id: str, gossip: Gossip, peers: Peers, granter: TokenGranter
    ) -> None:
        self._requester_id = requester_id
        self._gossip = gossip
        self._peers = peers
        self._granter = granter
        self._lock = threading.Lock()
        self._tokens_by_team: dict[str, _TeamTokens] = {}

    def admit(self, team: str, deadline: float) -> Result[None, Refusal]:
        """Spend one of a team's tokens; request more and wait for them if needed."""
        tokens = self._tokens_of(team)
        if self._spend(tokens):
            return Ok(None)
        with tokens.lock:
            tokens.waiters += 1
        try:
            return self._wait_for_token(tokens, deadline)
        finally:
            with tokens.lock:
                tokens.waiters -= 1

    def report_usage(self) -> None:
        """Report spent tokens to the token owners, so that their buckets can refill."""
        for tokens in list(self._tokens_by_team.values()):
            if tokens.reserve.unreported and tokens.request_lock.acquire(blocking=False):
                try:
                    self._request_tokens(tokens)
                finally:
                    tokens.request_lock.release()

    def _wait_for_token(self, tokens: _TeamTokens, deadline: float) -> Result[None, Refusal]:
        """Request tokens until one is spent, or refuse after a limited wait.

        Refuse once the team has been over its rate for MAX_OVER_RATE_WAIT_S, or the deadline
        passes. While the limits are unavailable only the deadline counts; the time allowed for a
        team over its rate starts again after that.
        """
        give_up_at = time.monotonic() + MAX_OVER_RATE_WAIT_S
        while True:
            if not tokens.request_lock.acquire(timeout=max(0.0, deadline - time.monotonic())):
                return Err(Refusal(kind=Kind.DEADLINE, detail="no rate token before the deadline"))
            try:
                if self._spend(tokens):
                    return Ok(None)
                granted = self._request_tokens(tokens)
                if self._spend(tokens):
                    return Ok(None)
            finally:
                tokens.request_lock.release()
            refusal, retry_delay = self._refusal_and_retry_delay(granted)
            retry_until = min(deadline, give_up_at)
            if refusal.kind is Kind.LIMITS_UNAVAILABLE:
                retry_until = deadline
                give_up_at = time.monotonic() + MAX_OVER_RATE_WAIT_S
            if time.monotonic() + retry_delay >= retry_until:
                return Err(refusal)
            time.sleep(retry_delay)

    def _refusal_and_retry_delay(self, granted: Result[Grant, Refusal]) -> tuple[Refusal, float]:
        if isinstance(granted, Err):
            return granted.err_value, RETRY_DELAY_S
        wait = granted.ok_value.wait
        detail = f"the next rate token is due in {wait:.3f} s"
        return Refusal(kind=Kind.OVER_RATE, detail=detail), max(0.001, wait)

    def _spend(self, tokens: _TeamTokens) -> bool:
        with tokens.lock:
            return tokens.reserve.spend(clock.now())

    def _request_tokens(self, tokens: _TeamTokens) -> Result[Grant, Refusal]:
        requested_at = clock.now()
        with tokens.lock:
            request = tokens.reserve.next_request(tokens.waiters, requested_at)
        granted = self._send_request(request)
        if isinstance(granted, Ok):
            with tokens.lock:
                tokens.reserve.add(granted.ok_value, requested_at)
        return granted

    def _send_request(self, request: GrantRequest) -> Result[Grant, Refusal]:
        hosts = self._gossip.owners(rate_shard(request.team))
        if not hosts:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="no live host"))
        if hosts[0].name == self._gossip.own().name:
            return self._granter.grant(request)
        try:
            return self._peers.tokens(hosts[0], request)
        except (NotSent, NoResponse) as exc:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail=str(exc)))

    def _tokens_of(self, team: str) -> _TeamTokens:
        with self._lock:
            tokens = self._tokens_by_team.get(team)
            if tokens is None:
                tokens = _TeamTokens(reserve=TokenReserve(team=team, host=self._requester_id))
                self._tokens_by_team[team] = tokens
            return tokens
