"""Tokens of the teams' rates, for as much of each rate as hosts have lent to this one."""

from wagtailloft.controllers.token_bucket import GrantRequest, TokenBucket
from wagtailloft.fleet.records import TeamRule
from wagtailloft.models import Record, Team

LENT_S = 0.8  # three asks of a host; a share that is lent twice for so long is borne
START_SHARE = 0.4  # of what is borne over a limit; the pool may move twice in a window


class Tolerance(Record):
    """Hold what is borne over a team's limit in a window of so many seconds."""

    window: float
    excess: float
    slack: float

    def of(self, rule: TeamRule) -> float:
        """Return the operations over a team's limit that are borne in one window."""
        return self.excess * (rule.rate * self.window + rule.burst) + self.slack


class TokenPool:
    """Grant tokens out of lent shares; a share is one host's part of every team's rate."""

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._rules: dict[str, TeamRule] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._lenders: dict[str, float] = {}
        self._part = 0.0
        self._started: dict[str, float] = {}

    def configure(self, rules: tuple[TeamRule, ...], at: float) -> None:
        """Take the teams' rates."""
        self._rules = {r.name: r for r in rules}
        for name in [n for n in self._buckets if n not in self._rules]:
            del self._buckets[name]
        for name, bucket in self._buckets.items():
            bucket.change(self._team(name), at)

    def lend(self, host: str, hosts: int, at: float) -> None:
        """Note that a host lends its share, one of so many."""
        self._lenders[host] = at + LENT_S
        self._measure(hosts, at)

    def take(self, request: GrantRequest, at: float) -> tuple[float, float] | None:
        """Return granted tokens, and the seconds after which another ask may succeed.

        None stands for no answer: the team is not known here yet, or the ask came late.
        """
        if request.team not in self._rules:
            return None
        bucket = self._buckets.get(request.team)
        if bucket is None:
            # Nothing is known of what was spent before, so the bucket starts nearly empty.
            bucket = TokenBucket(team=self._team(request.team), now=at, blocked_until=at)
            self._buckets[request.team] = bucket
        self._allow_start(request.team, bucket)
        grant = bucket.take(request, at, renew=True)
        return (grant.tokens, grant.wait) if grant else None

    def _allow_start(self, team: str, bucket: TokenBucket) -> None:
        """Allow the start's tokens once for each share that is lent here."""
        known = self._started.get(team, 0.0)
        if self._part > known:
            self._started[team] = self._part
            borne = self._tolerance.of(self._rules[team])
            bucket.allow(borne * START_SHARE * (self._part - known))

    def _measure(self, hosts: int, at: float) -> None:
        lenders = [h for h, until in self._lenders.items() if until > at]
        self._lenders = {h: self._lenders[h] for h in lenders}
        part = min(1.0, len(lenders) / max(1, hosts))
        if abs(part - self._part) < 1e-9:
            return
        self._part = part
        for name, bucket in self._buckets.items():
            bucket.change(self._team(name), at)

    def _team(self, name: str) -> Team:
        rule = self._rules[name]
        return Team(
            name=name,
            rate=max(1e-6, rule.rate * self._part),
            burst=max(1e-6, rule.burst * self._part),
        )
