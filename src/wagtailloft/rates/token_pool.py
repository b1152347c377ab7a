"""Grant rate tokens from the shares of the teams' rates that hosts have lent to this host."""

from wagtailloft.controllers.token_bucket import GrantRequest, TokenBucket
from wagtailloft.fleet.records import TeamRule
from wagtailloft.models import Record, Team

# Covers three requests of a host. After the pool moves to another host, a share may count at both
# hosts for this long; the tolerance covers the excess.
SHARE_TTL_S = 0.8
# Fraction of the tolerated excess that a new pool grants. Below a half, since the pool may move
# twice in one window.
START_CREDIT_FRACTION = 0.4


class Tolerance(Record):
    """The tolerated excess over a team's limit in a window.

    window is in seconds, excess is a fraction of the limit, slack is a number of operations.
    """

    window: float
    excess: float
    slack: float

    def allowed_excess(self, rule: TeamRule) -> float:
        """Return the number of operations over a team's limit that are tolerated in one window."""
        return self.excess * (rule.rate * self.window + rule.burst) + self.slack


class TokenPool:
    """Grant tokens from lent shares. A share is one host's equal part of every team's rate."""

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._rules: dict[str, TeamRule] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._share_expiry: dict[str, float] = {}
        self._lent_fraction = 0.0
        self._credited_fraction: dict[str, float] = {}

    def configure(self, rules: tuple[TeamRule, ...], at: float) -> None:
        """Apply the teams' rates."""
        self._rules = {r.name: r for r in rules}
        for name in [n for n in self._buckets if n not in self._rules]:
            del self._buckets[name]
        for name, bucket in self._buckets.items():
            bucket.reconfigure(self._scaled_team(name), at)

    def renew_share(self, host: str, host_count: int, at: float) -> None:
        """Renew the share that a host lends, one of host_count equal shares."""
        self._share_expiry[host] = at + SHARE_TTL_S
        self._update_fraction(host_count, at)

    def grant(self, request: GrantRequest, at: float) -> tuple[float, float] | None:
        """Return the granted tokens and the seconds after which another request may succeed.

        Return None if the team is not configured here yet, or the request is repeated or old.
        """
        if request.team not in self._rules:
            return None
        bucket = self._buckets.get(request.team)
        if bucket is None:
            # The tokens granted by an earlier pool are unknown, so the bucket starts nearly empty.
            bucket = TokenBucket(team=self._scaled_team(request.team), now=at, blocked_until=at)
            self._buckets[request.team] = bucket
        self._credit_start(request.team, bucket)
        grant = bucket.grant(request, at, extend=True)
        return (grant.tokens, grant.wait) if grant else None

    def _credit_start(self, team: str, bucket: TokenBucket) -> None:
        """Credit the start tokens once for each share that is lent to this host."""
        credited = self._credited_fraction.get(team, 0.0)
        if self._lent_fraction > credited:
            self._credited_fraction[team] = self._lent_fraction
            excess = self._tolerance.allowed_excess(self._rules[team])
            bucket.credit(excess * START_CREDIT_FRACTION * (self._lent_fraction - credited))

    def _update_fraction(self, host_count: int, at: float) -> None:
        hosts_lending = [h for h, until in self._share_expiry.items() if until > at]
        self._share_expiry = {h: self._share_expiry[h] for h in hosts_lending}
        fraction = min(1.0, len(hosts_lending) / max(1, host_count))
        if abs(fraction - self._lent_fraction) < 1e-9:
            return
        self._lent_fraction = fraction
        for name, bucket in self._buckets.items():
            bucket.reconfigure(self._scaled_team(name), at)

    def _scaled_team(self, name: str) -> Team:
        rule = self._rules[name]
        return Team(
            name=name,
            rate=max(1e-6, rule.rate * self._lent_fraction),
            burst=max(1e-6, rule.burst * self._lent_fraction),
        )
