"""Share a team's rate over all hosts: a bucket at the token owner, a reserve at each entry."""

import math
from dataclasses import dataclass

from wagtailloft.models import Record, Team
from wagtailloft.ranges import Amount, Count

TOKEN_LIFETIME_S = 1.0
PREFETCH_S = 0.1
MAX_BATCH_SHARE = 0.5
USAGE_WINDOW_S = 1.0
ROUNDING_TOLERANCE = 1e-9


class GrantRequest(Record):
    """A host's request for a team's tokens; held is the number it still has.

    waiting is the number of wanted tokens that will be spent as soon as they arrive.
    """

    team: str
    host: str
    number: Count
    held: Amount
    wanted: Amount
    waiting: Amount = 0.0


class Grant(Record):
    """Granted tokens; wait is the number of seconds after which another request may succeed."""

    number: Count
    tokens: Amount
    wait: Amount = 0.0


@dataclass(kw_only=True)
class _OutstandingTokens:
    number: int = -1
    tokens: float = 0.0
    expires: float = 0.0


class TokenBucket:
    """A token bucket with a team's rate and burst, kept at the token owner.

    The tokens in the bucket and those outstanding at hosts together never exceed the burst.
    """

    def __init__(self, *, team: Team, now: float, blocked_until: float = 0.0) -> None:
        self.team = team
        self._blocked_until = blocked_until
        self._tokens = 0.0 if blocked_until else team.burst
        self._updated = blocked_until or now
        self._outstanding: dict[str, _OutstandingTokens] = {}

    @property
    def outstanding(self) -> float:
        """Return the number of granted tokens that hosts may still hold."""
        return sum(o.tokens for o in self._outstanding.values())

    def reconfigure(self, team: Team, now: float) -> None:
        """Apply a new rate and burst."""
        self._refill(now)
        self.team = team
        self._clamp()

    def credit(self, tokens: float) -> None:
        """Add tokens that are known not to have been spent."""
        self._tokens += tokens
        self._clamp()

    def grant(self, request: GrantRequest, now: float, *, extend: bool = False) -> Grant | None:
        """Grant tokens; return None for a request that is repeated or older than the last one.

        With extend, the lifetime of the tokens that the host still holds starts again.
        """
        self._refill(now)
        outstanding = self._outstanding.setdefault(request.host, _OutstandingTokens())
        if request.number <= outstanding.number:
            return None
        outstanding.number = request.number
        outstanding.tokens = min(outstanding.tokens, request.held)
        if extend:
            outstanding.expires = now + TOKEN_LIFETIME_S
        self._clamp()
        if now < self._blocked_until:
            return Grant(number=request.number, tokens=0.0, wait=self._blocked_until - now)
        tokens = float(
            math.floor(min(self._batch_size(request), self._tokens + ROUNDING_TOLERANCE))
        )
        if tokens > 0:
            self._tokens = max(0.0, self._tokens - tokens)
            outstanding.tokens += max(0.0, tokens - request.waiting)
            outstanding.expires = now + TOKEN_LIFETIME_S
        wait = 0.0 if tokens or not request.wanted else self._time_to_next_token()
        return Grant(number=request.number, tokens=tokens, wait=wait)

    def _batch_size(self, request: GrantRequest) -> float:
        hosts = max(1, len(self._outstanding))
        max_batch = max(1.0, self.team.burst * MAX_BATCH_SHARE / hosts)
        return min(request.wanted, max(max_batch, request.waiting))

    def _time_to_next_token(self) -> float:
        return max(0.001, (1.0 - self._tokens) / self.team.rate)

    def _refill(self, now: float) -> None:
        self._expire(now)
        if now <= self._updated:
            return
        self._tokens += self.team.rate * (now - self._updated)
        self._updated = now
        self._clamp()

    def _clamp(self) -> None:
        self._tokens = max(0.0, min(self._tokens, self.team.burst - self.outstanding))

    def _expire(self, now: float) -> None:
        for host in [h for h, o in self._outstanding.items() if o.expires <= now]:
            outstanding = self._outstanding[host]
            outstanding.tokens = 0.0
            if now - outstanding.expires > USAGE_WINDOW_S * 60:
                del self._outstanding[host]


class TokenReserve:
    """A team's granted tokens at one entry, spent in the order of their grants."""

    def __init__(self, *, team: str, host: str) -> None:
        self.team = team
        self.host = host
        self._batches: list[tuple[float, float]] = []
        self._number = 0
        self._recent_usage = 0.0
        self._usage_updated = 0.0
        self.unreported = 0.0

    def spend(self, now: float) -> bool:
        """Spend a token that has not expired; return False if there is none."""
        self._drop_expired(now)
        self._decay(now)
        if not self._batches:
            return False
        tokens, expires = self._batches[0]
        if tokens > 1:
            self._batches[0] = (tokens - 1, expires)
        else:
            del self._batches[0]
        self._recent_usage += 1
        self.unreported += 1
        return True

    def next_request(self, waiting: int, now: float) -> GrantRequest:
        """Return the next request, for the waiting callers and the usage expected soon."""
        self._drop_expired(now)
        self._decay(now)
        self._number += 1
        self.unreported = 0.0
        wanted = 0.0
        if waiting:
            wanted = waiting + math.floor(self._recent_usage / USAGE_WINDOW_S * PREFETCH_S)
        held = sum(tokens for tokens, _ in self._batches)
        return GrantRequest(
            team=self.team, host=self.host, number=self._number, held=held, wanted=wanted
        )

    def held(self, now: float) -> float:
        """Return the number of tokens that have not expired."""
        self._drop_expired(now)
        return sum(tokens for tokens, _ in self._batches)

    def usage_rate(self, now: float) -> float:
        """Return the recent usage in tokens per second."""
        self._decay(now)
        return self._recent_usage / USAGE_WINDOW_S

    def extend(self, requested_at: float) -> None:
        """Restart the lifetime of the held tokens at the time of a request."""
        total = sum(tokens for tokens, _ in self._batches)
        self._batches = [(total, requested_at + TOKEN_LIFETIME_S)] if total else []

    def add(self, grant: Grant, requested_at: float) -> None:
        """Add granted tokens; their lifetime started when they were requested."""
        if grant.tokens > 0:
            self._batches.append((grant.tokens, requested_at + TOKEN_LIFETIME_S))

    def trim_to(self, tokens: float) -> None:
        """Discard held tokens in excess of a number, newest first."""
        surplus = sum(held for held, _ in self._batches) - tokens
        while self._batches and surplus > 0:
            held, expires = self._batches.pop()
            if held > surplus:
                self._batches.append((held - surplus, expires))
            surplus -= held

    def _drop_expired(self, now: float) -> None:
        self._batches = [b for b in self._batches if b[1] > now]

    def _decay(self, now: float) -> None:
        passed = now - self._usage_updated
        self._recent_usage *= math.exp(-passed / USAGE_WINDOW_S)
        self._usage_updated = now
