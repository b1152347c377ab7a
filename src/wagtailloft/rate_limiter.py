"""Keep each team within its rate and burst over all hosts."""

import threading
import time
from dataclasses import dataclass, field

from result import Err, Ok, Result

from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.ownership import shard
from wagtailloft.controllers.token_bucket import Grant, GrantRequest, TokenBucket, TokenReserve
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.leases import Leases
from wagtailloft.metrics import Metrics
from wagtailloft.models import Team

PATIENCE_S = 0.5
RETRY_S = 0.05
USAGE_REPORT_INTERVAL_S = 0.05
TOKEN_TIMEOUT_S = 0.5


@dataclass(kw_only=True)
class _Held:
    bucket: TokenBucket
    epoch: int


class TokenGranter:
    """Grant tokens for the teams whose lease this host holds."""

    def __init__(self, *, leases: Leases, catalog: Catalog, metrics: Metrics) -> None:
        self._leases = leases
        self._catalog = catalog
        self._metrics = metrics
        self._lock = threading.Lock()
        self._buckets: dict[str, _Held] = {}

    def grant(self, request: GrantRequest) -> Result[Grant, Refusal]:
        """Grant tokens, or refuse while this host may not."""
        right = self._leases.grant_right(shard(request.team))
        if right is None:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="no lease"))
        now = time.monotonic()
        if now < right.granting_from:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="the lease is new"))
        team = self._catalog.find(Team, request.team) or Team(name=request.team)
        with self._lock:
            bucket = self._bucket(team, right.epoch, right.granting_from, now)
            grant = bucket.take(request, now)
            self._metrics.tokens_out.labels(team.name).set(bucket.out)
        if grant is None:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="the ask came late"))
        return Ok(grant)

    def _bucket(self, team: Team, epoch: int, since: float, now: float) -> TokenBucket:
        held = self._buckets.get(team.name)
        if held is None or held.epoch != epoch:
            bucket = TokenBucket(team=team, now=now, blocked_until=since)
            held = _Held(bucket=bucket, epoch=epoch)
            self._buckets[team.name] = held
        if held.bucket.team != team:
            held.bucket.change(team, now)
        return held.bucket


@dataclass(kw_only=True)
class _Account:
    reserve: TokenReserve
    lock: threading.Lock = field(default_factory=threading.Lock)
    asking: threading.Lock = field(default_factory=threading.Lock)
    waiting: int = 0


class RateLimiter:
    """Admit requests at an entry against tokens from the limit owner."""

    def __init__(
        self, *, requester_id: str, gossip: Gossip, peers: Peers, granter: TokenGranter
    ) -> None:
        self._requester_id = requester_id
        self._gossip = gossip
        self._peers = peers
        self._granter = granter
        self._lock = threading.Lock()
        self._accounts: dict[str, _Account] = {}

    def admit(self, team: str, deadline: float) -> Result[None, Refusal]:
        """Use one of a team's tokens, asking for more if need be."""
        account = self._account(team)
        if self._spend(account):
            return Ok(None)
        with account.lock:
            account.waiting += 1
        try:
            return self._wait(account, deadline)
        finally:
            with account.lock:
                account.waiting -= 1

    def report_usage(self) -> None:
        """Tell limit owners what was spent, so that their buckets can refill."""
        for account in list(self._accounts.values()):
            if account.reserve.unreported and account.asking.acquire(blocking=False):
                try:
                    self._ask(account)
                finally:
                    account.asking.release()

    def _wait(self, account: _Account, deadline: float) -> Result[None, Refusal]:
        patience = time.monotonic() + PATIENCE_S
        while True:
            if not account.asking.acquire(timeout=max(0.0, deadline - time.monotonic())):
                return Err(Refusal(kind=Kind.DEADLINE, detail="no rate token came in time"))
            try:
                if self._spend(account):
                    return Ok(None)
                asked = self._ask(account)
                if self._spend(account):
                    return Ok(None)
            finally:
                account.asking.release()
            refusal, pause = self._judge(asked)
            until = min(deadline, patience)
            if refusal.kind is Kind.LIMITS_UNAVAILABLE:
                until = deadline
                patience = time.monotonic() + PATIENCE_S
            if time.monotonic() + pause >= until:
                return Err(refusal)
            time.sleep(pause)

    def _judge(self, asked: Result[Grant, Refusal]) -> tuple[Refusal, float]:
        if isinstance(asked, Err):
            return asked.err_value, RETRY_S
        wait = asked.ok_value.wait
        detail = f"the next token comes in {wait:.3f} s"
        return Refusal(kind=Kind.OVER_RATE, detail=detail), max(0.001, wait)

    def _spend(self, account: _Account) -> bool:
        with account.lock:
            return account.reserve.spend(time.monotonic())

    def _ask(self, account: _Account) -> Result[Grant, Refusal]:
        asked = time.monotonic()
        with account.lock:
            request = account.reserve.ask(account.waiting, asked)
        granted = self._send(request)
        if isinstance(granted, Ok):
            with account.lock:
                account.reserve.add(granted.ok_value, asked)
        return granted

    def _send(self, request: GrantRequest) -> Result[Grant, Refusal]:
        hosts = self._gossip.owners(shard(request.team))
        if not hosts:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail="no live host"))
        if hosts[0].name == self._gossip.own().name:
            return self._granter.grant(request)
        try:
            return self._peers.tokens(hosts[0], request)
        except (NotSent, NoResponse) as exc:
            return Err(Refusal(kind=Kind.LIMITS_UNAVAILABLE, detail=str(exc)))

    def _account(self, team: str) -> _Account:
        with self._lock:
            account = self._accounts.get(team)
            if account is None:
                account = _Account(reserve=TokenReserve(team=team, host=self._requester_id))
                self._accounts[team] = account
            return account
