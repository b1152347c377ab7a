"""Share a team's rate over all hosts: a bucket at the limit owner, a purse at each entry."""

import math
from dataclasses import dataclass

from wagtailloft.models import Record, Team

TOKEN_LIFETIME_S = 1.0
BATCH_TIME_S = 0.1
BATCH_SHARE = 0.5
USE_MEMORY_S = 1.0
ROUNDING_TOLERANCE = 1e-9


class GrantRequest(Record):
    """Ask for tokens; held counts those the host still has.

    waiting tells how many of the wanted ones are spent as soon as they arrive.
    """

    team: str
    host: str
    number: int
    held: float
    wanted: float
    waiting: float = 0.0


class Grant(Record):
    """Give tokens; wait tells after how many seconds another ask may succeed."""

    number: int
    tokens: float
    wait: float = 0.0


@dataclass(kw_only=True)
class _Out:
    number: int = -1
    tokens: float = 0.0
    expires: float = 0.0


class TokenBucket:
    """Hold a team's tokens at the limit owner.

    Tokens here and tokens out never exceed the burst together.
    """

    def __init__(self, *, team: Team, now: float, blocked_until: float = 0.0) -> None:
        self.team = team
        self._blocked_until = blocked_until
        self._tokens = 0.0 if blocked_until else team.burst
        self._updated = blocked_until or now
        self._out: dict[str, _Out] = {}

    @property
    def out(self) -> float:
        """Return how many tokens hosts may still hold."""
        return sum(o.tokens for o in self._out.values())

    def change(self, team: Team, now: float) -> None:
        """Take a new rate and burst."""
        self._refill(now)
        self.team = team
        self._cap()

    def allow(self, tokens: float) -> None:
        """Add tokens that are known not to have been spent."""
        self._tokens += tokens
        self._cap()

    def take(self, request: GrantRequest, now: float, *, renew: bool = False) -> Grant | None:
        """Grant tokens; return None for an ask that came late.

        With renew, the tokens that the host still holds live on with the new ones.
        """
        self._refill(now)
        out = self._out.setdefault(request.host, _Out())
        if request.number <= out.number:
            return None
        out.number = request.number
        out.tokens = min(out.tokens, request.held)
        if renew:
            out.expires = now + TOKEN_LIFETIME_S
        self._cap()
        if now < self._blocked_until:
            return Grant(number=request.number, tokens=0.0, wait=self._blocked_until - now)
        tokens = float(math.floor(min(self._batch(request), self._tokens + ROUNDING_TOLERANCE)))
        if tokens > 0:
            self._tokens = max(0.0, self._tokens - tokens)
            out.tokens += max(0.0, tokens - request.waiting)
            out.expires = now + TOKEN_LIFETIME_S
        wait = 0.0 if tokens or not request.wanted else self._wait()
        return Grant(number=request.number, tokens=tokens, wait=wait)

    def _batch(self, request: GrantRequest) -> float:
        holders = max(1, len(self._out))
        share = max(1.0, self.team.burst * BATCH_SHARE / holders)
        return min(request.wanted, max(share, request.waiting))

    def _wait(self) -> float:
        return max(0.001, (1.0 - self._tokens) / self.team.rate)

    def _refill(self, now: float) -> None:
        self._expire(now)
        if now <= self._updated:
            return
        self._tokens += self.team.rate * (now - self._updated)
        self._updated = now
        self._cap()

    def _cap(self) -> None:
        self._tokens = max(0.0, min(self._tokens, self.team.burst - self.out))

    def _expire(self, now: float) -> None:
        for host in [h for h, o in self._out.items() if o.expires <= now]:
            out = self._out[host]
            out.tokens = 0.0
            if now - out.expires > USE_MEMORY_S * 60:
                del self._out[host]


class TokenReserve:
    """Hold a team's tokens at one entry."""

    def __init__(self, *, team: str, host: str) -> None:
        self.team = team
        self.host = host
        self._batches: list[tuple[float, float]] = []
        self._number = 0
        self._used = 0.0
        self._used_at = 0.0
        self.unreported = 0.0

    def spend(self, now: float) -> bool:
        """Use one token that has not expired; return False if there is none."""
        self._drop(now)
        self._decay(now)
        if not self._batches:
            return False
        tokens, expires = self._batches[0]
        if tokens > 1:
            self._batches[0] = (tokens - 1, expires)
        else:
            del self._batches[0]
        self._used += 1
        self.unreported += 1
        return True

    def ask(self, waiting: int, now: float) -> GrantRequest:
        """Return the next ask: for those that wait and for the use expected soon."""
        self._drop(now)
        self._decay(now)
        self._number += 1
        self.unreported = 0.0
        wanted = 0.0
        if waiting:
            wanted = waiting + math.floor(self._used / USE_MEMORY_S * BATCH_TIME_S)
        held = sum(tokens for tokens, _ in self._batches)
        return GrantRequest(
            team=self.team, host=self.host, number=self._number, held=held, wanted=wanted
        )

    def held(self, now: float) -> float:
        """Return how many tokens have not expired."""
        self._drop(now)
        return sum(tokens for tokens, _ in self._batches)

    def use(self, now: float) -> float:
        """Return the tokens used a second, of late."""
        self._decay(now)
        return self._used / USE_MEMORY_S

    def renew(self, asked: float) -> None:
        """Let the tokens that are held live on from the time of an ask."""
        total = sum(tokens for tokens, _ in self._batches)
        self._batches = [(total, asked + TOKEN_LIFETIME_S)] if total else []

    def add(self, grant: Grant, asked: float) -> None:
        """Take granted tokens; their lifetime started when they were asked for."""
        if grant.tokens > 0:
            self._batches.append((grant.tokens, asked + TOKEN_LIFETIME_S))

    def keep(self, tokens: float) -> None:
        """Drop what is held beyond so many tokens."""
        surplus = sum(held for held, _ in self._batches) - tokens
        while self._batches and surplus > 0:
            held, expires = self._batches.pop()
            if held > surplus:
                self._batches.append((held - surplus, expires))
            surplus -= held

    def _drop(self, now: float) -> None:
        self._batches = [b for b in self._batches if b[1] > now]

    def _decay(self, now: float) -> None:
        passed = now - self._used_at
        self._used *= math.exp(-passed / USE_MEMORY_S)
        self._used_at = now
