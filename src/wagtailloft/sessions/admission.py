"""Admission control: checks an operation's route, key, configuration age and team rate."""

from wagtailloft import logs
from wagtailloft.catalog import key_digest
from wagtailloft.clock import now
from wagtailloft.errors import Kind
from wagtailloft.fleet.records import Configuration, Entry, RouteRule, TeamRule, Topic
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.metrics import Metrics
from wagtailloft.models import Record
from wagtailloft.rates.token_client import SpendResult, TokenClient
from wagtailloft.sessions.statements import OK_NOT_SENT, StatementResult, not_executed

PUBLIC_TEAM = "-"
# Longest wait for a rate token, which may come with the next grant; a quarter of the route's goal
# if that is shorter. A token pool that does not respond is waited for up to the goal.
RATE_WAIT_LIMIT_S = 0.25


class AdmittedOperation(Record):
    """Describe an admitted operation: the route and team that it runs under.

    An operation is a single statement or a transaction; each spends one rate token, unless its key
    belongs to no team.
    """

    rule: RouteRule
    team: str


class AdmissionForecast(Record):
    """Describe how an operation of a team would be admitted now.

    limit is None if no team was named; a rate refusal has the seconds until a token is expected.
    """

    rule: RouteRule
    limit: TeamRule | None = None
    refusal: StatementResult | None = None
    retry_after: float | None = None


class Admission:
    """Decide whether an operation may run, by the current configuration and the team's rate.

    not_found_max_age bounds, in seconds, the age of a configuration by which a route or key is
    reported as unknown; with an older one, it may exist already.
    """

    def __init__(
        self, *, cache: StoreCache, tokens: TokenClient, metrics: Metrics, not_found_max_age: float
    ) -> None:
        self._cache = cache
        self._tokens = tokens
        self._metrics = metrics
        self._not_found_max_age = not_found_max_age
        self._version = 0
        self._routes: dict[str, RouteRule] = {}
        self._teams: dict[str, TeamRule] = {}
        self._team_by_digest: dict[str, str] = {}
        self._transaction_idle = 3.0
        cache.on_change(Topic.SETTINGS, self._apply_configuration)

    @staticmethod
    def digest(key: str) -> str:
        """Return the digest by which keys are compared, so that keys themselves are not kept."""
        return key_digest(key)

    @property
    def ready(self) -> bool:
        """Return whether a configuration has been loaded."""
        return self._version > 0

    def age(self) -> float:
        """Return the seconds since the configuration was last confirmed as current."""
        return self._cache.settings_age()

    def transaction_idle(self) -> float:
        """Return the idle timeout of transactions, in seconds."""
        return self._transaction_idle

    def check(self, database: str, digest: str, *, new_session: bool = False) -> StatementResult:
        """Check route and key without spending a rate token of the team.

        new_session skips the check that keys are fresh, which each later statement repeats.
        """
        rule = self._routes.get(database)
        if rule is None:
            return self._not_found(Kind.UNKNOWN_ROUTE, "no route for the database")
        if not self._cache.knows_settings():
            return not_executed(Kind.SETTINGS_STALE, "a later configuration may be missing here")
        if rule.public:
            return OK_NOT_SENT
        if digest not in self._team_by_digest:
            return self._not_found(Kind.KEY_UNKNOWN, "the key is unknown or withdrawn")
        if not new_session and not self._cache.is_fresh():
            age = self.age()
            return not_executed(Kind.SETTINGS_STALE, f"keys were last confirmed {age:.1f} s ago")
        return OK_NOT_SENT

    def operation(self, database: str, digest: str) -> AdmittedOperation | StatementResult:
        """Return the operation that a key may run on a database now, or a refusal.

        No rate token is spent for it yet.
        """
        refusal = self.check(database, digest)
        if not refusal.ok:
            return refusal
        team = self._team_by_digest.get(digest, PUBLIC_TEAM)
        return AdmittedOperation(rule=self._routes[database], team=team)

    def expects_token(self, operation: AdmittedOperation) -> bool:
        """Tell whether the team's rate will probably admit the operation."""
        return not self._tokens.was_denied(operation.team)

    def forecast(self, database: str, team: str) -> AdmissionForecast | StatementResult:
        """Return how an operation of a team would be admitted now, without spending a token.

        An empty name stands for any team with a key, whose rate is not looked at. Return a refusal
        if the route or the team is unknown.
        """
        rule, limit = self._routes.get(database), self._teams.get(team)
        if rule is None:
            return self.check(database, "")
        if team and limit is None:
            return self._not_found(Kind.NOT_FOUND, f"no team '{team}'")
        digests = (d for d, name in self._team_by_digest.items() if not team or name == team)
        operation = self.operation(database, next(digests, ""))
        if isinstance(operation, StatementResult):
            return AdmissionForecast(rule=rule, limit=limit, refusal=operation)
        if limit is None or not self._tokens.would_refuse(operation.team, _rate_wait(rule)):
            return AdmissionForecast(rule=rule, limit=limit)
        wait = _token_interval(limit)
        return AdmissionForecast(
            rule=rule, limit=limit, refusal=_over_rate(limit), retry_after=wait
        )

    async def admit(
        self, database: str, digest: str, request_id: str
    ) -> AdmittedOperation | StatementResult:
        """Admit an operation, spending one rate token of its team, or return a refusal."""
        operation = self.operation(database, digest)
        while isinstance(operation, AdmittedOperation):
            refusal = await self.spend_token(operation, request_id)
            admitted = operation
            # The configuration may have changed while the operation waited.
            operation = self.operation(database, digest)
            if not isinstance(operation, AdmittedOperation) or operation.team == admitted.team:
                return operation if refusal.ok else refusal
        return operation

    async def spend_token(self, operation: AdmittedOperation, request_id: str) -> StatementResult:
        """Spend one rate token for an operation, waiting for it if necessary."""
        if operation.team == PUBLIC_TEAM:
            return OK_NOT_SENT
        spend_result = await self._tokens.spend(
            operation.team, _rate_wait(operation.rule), operation.rule.goal
        )
        if spend_result is SpendResult.GRANTED:
            return OK_NOT_SENT
        limit = self._teams.get(operation.team)
        if limit is None:
            return not_executed(Kind.KEY_UNKNOWN, "the key's team was removed")
        return self._rate_refusal(limit, spend_result, request_id)

    def _rate_refusal(
        self, limit: TeamRule, spend_result: SpendResult, request_id: str
    ) -> StatementResult:
        logs.warn(
            spend_result.value if spend_result is SpendResult.OVER_RATE else "tokens_unanswered",
            request=request_id,
            team=limit.name,
            rate=limit.rate,
            burst=limit.burst,
            version=self._version,
        )
        if spend_result is SpendResult.UNANSWERED:
            return not_executed(
                Kind.LIMITS_UNAVAILABLE, "the team's rate was not checked, since no host answered"
            )
        return _over_rate(limit)

    def record_result(self, database: str, outcome: StatementResult, seconds: float) -> None:
        """Record a result and its latency in the metrics."""
        if outcome.kind:
            self._metrics.refusals.labels(outcome.kind.value).inc()
        rule = self._routes.get(database)
        self._metrics.latency.labels("", rule.freshness.value if rule else "").observe(seconds)

    def _not_found(self, kind: Kind, detail: str) -> StatementResult:
        if self.age() > self._not_found_max_age:
            return not_executed(
                Kind.SETTINGS_STALE,
                f"{detail}, but the configuration is {self.age():.1f} s old",
            )
        return not_executed(kind, detail)

    def _apply_configuration(self, entry: Entry) -> None:
        value = entry.value
        if not isinstance(value, Configuration) or value.version <= self._version:
            return
        self._routes = {r.database: r for r in value.routes}
        self._teams = {t.name: t for t in value.teams}
        self._team_by_digest = {digest: t.name for t in value.teams for digest in t.keys}
        self._transaction_idle = value.transaction_idle
        self._tokens.configure(value.teams, now())
        self._version = value.version  # last, so that a call that failed can be repeated
        logs.event(
            "configuration",
            version=value.version,
            revision=entry.revision,
            routes=len(self._routes),
            teams=len(self._teams),
            keys=len(self._team_by_digest),
        )


def _rate_wait(rule: RouteRule) -> float:
    return min(RATE_WAIT_LIMIT_S, rule.goal / 4)


def _token_interval(limit: TeamRule) -> float:
    return 1 / limit.rate if limit.rate else 1.0


def _over_rate(limit: TeamRule) -> StatementResult:
    return not_executed(Kind.OVER_RATE, f"retry in {1000 * _token_interval(limit):.0f} ms")
