"""Admit operations: the route, the key, the age of what is known of both, and the team's rate."""

from wagtailloft import logs
from wagtailloft.catalog import key_digest
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.records import Configuration, Entry, RouteRule, TeamRule, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.metrics import Metrics
from wagtailloft.models import Record
from wagtailloft.rates.token_client import SpendResult, TokenClient
from wagtailloft.sessions.statements import DONE, Outcome, refused

PUBLIC_TEAM = "-"
RATE_PATIENCE_S = 0.25  # a fraction of a usual goal: a token may come with the next grant


class Admitted(Record):
    """Hold the rule and team under which an operation runs."""

    rule: RouteRule
    team: str


class Admission:
    """Decide whether an operation may run at this moment."""

    def __init__(
        self, *, cache: StoreCache, tokens: TokenClient, metrics: Metrics, absent_age: float
    ) -> None:
        self._cache = cache
        self._tokens = tokens
        self._metrics = metrics
        self._absent_age = absent_age
        self._version = 0
        self._routes: dict[str, RouteRule] = {}
        self._teams: dict[str, TeamRule] = {}
        self._by_key: dict[str, str] = {}
        self._idle = 3.0
        cache.on_change(Topic.SETTINGS, self._changed)

    @staticmethod
    def digest(key: str) -> str:
        """Return the form in which a key is compared; keys are not kept."""
        return key_digest(key)

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is known."""
        return self._version > 0

    def age(self) -> float:
        """Return the seconds since the configuration was surely current."""
        return self._cache.age()

    def transaction_idle(self) -> float:
        """Return the seconds that a transaction may rest."""
        return self._idle

    def check(self, database: str, digest: str, *, opening: bool = False) -> Outcome:
        """Check route and key without using the team's rate."""
        rule = self._routes.get(database)
        if rule is None:
            return self._absent(Kind.UNKNOWN_ROUTE, "no route serves the database")
        if rule.public:
            return DONE
        if digest not in self._by_key:
            return self._absent(Kind.KEY_UNKNOWN, "the key is unknown or withdrawn")
        if not opening and not self._cache.fresh():
            age = self._cache.age()
            return refused(Kind.SETTINGS_STALE, f"keys were last confirmed {age:.1f} s ago")
        return DONE

    async def admit(self, database: str, digest: str, request_id: str) -> Admitted | Outcome:
        """Admit an operation and use one token of its team."""
        refusal = self.check(database, digest)
        if not refusal.ok:
            return refusal
        rule = self._routes[database]
        team = self._by_key.get(digest)
        if team is None:
            return Admitted(rule=rule, team=PUBLIC_TEAM)
        patience = min(RATE_PATIENCE_S, rule.goal / 4)
        spent = await self._tokens.spend(team, patience, rule.goal)
        # The configuration may have changed while the operation waited.
        refusal = self.check(database, digest)
        if not refusal.ok:
            return refusal
        if spent is SpendResult.GRANTED:
            return Admitted(rule=self._routes[database], team=team)
        return self._without_token(self._teams[team], spent, request_id)

    def _without_token(self, limit: TeamRule, spent: SpendResult, request_id: str) -> Outcome:
        logs.warn(
            spent.value if spent is SpendResult.OVER_RATE else "tokens_unanswered",
            request=request_id,
            team=limit.name,
            rate=limit.rate,
            burst=limit.burst,
            version=self._version,
        )
        if spent is SpendResult.UNANSWERED:
            return refused(Kind.LIMITS_UNAVAILABLE, "no host has answered for the team's rate")
        wait = 1000 / limit.rate if limit.rate else 1000
        return refused(Kind.OVER_RATE, f"retry in {wait:.0f} ms")

    def count(self, database: str, outcome: Outcome, seconds: float) -> None:
        """Count an answer."""
        if outcome.kind:
            self._metrics.refusals.labels(outcome.kind.value).inc()
        rule = self._routes.get(database)
        self._metrics.latency.labels("", rule.freshness.value if rule else "").observe(seconds)

    def _absent(self, kind: Kind, detail: str) -> Outcome:
        if self._cache.age() > self._absent_age:
            return refused(Kind.SETTINGS_STALE, f"{detail}, as of {self._cache.age():.1f} s ago")
        return refused(kind, detail)

    def _changed(self, entry: Entry) -> None:
        value = entry.value
        if not isinstance(value, Configuration) or value.version <= self._version:
            return
        self._version = value.version
        self._routes = {r.database: r for r in value.routes}
        self._teams = {t.name: t for t in value.teams}
        self._by_key = {digest: t.name for t in value.teams for digest in t.keys}
        self._idle = value.transaction_idle
        self._tokens.configure(value.teams, now())
        logs.event(
            "configuration",
            version=value.version,
            revision=entry.revision,
            routes=len(self._routes),
            teams=len(self._teams),
            keys=len(self._by_key),
        )
