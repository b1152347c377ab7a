"""Prometheus metrics of one host."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from wagtailloft.errors import Kind

LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
RETRY_REASONS = (
    "behind",
    "not_sent",
    "silent",
    "lock_busy",
    "stale_term",
    "not_primary",
    "too_many_connections",
    "owner_unreachable",
    "replaced",
    "unacknowledged",
)


class Metrics:
    """All metrics of one host, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests answered", "team", "route")
        self.refusals = self._counter("refusals", "Refusals by reason", "kind")
        self.retries = self._counter("retries", "Retries by reason", "reason")
        self.reads = self._counter("reads", "Reads by the role that served them", "role")
        self.failovers = self._counter("elections", "Promotions started", "group", "reason")
        self.member_refusals = self._counter(
            "member_refusals", "Statements refused before a member", "group", "member", "reason"
        )
        self.evacuated = self._gauge("zone_evacuated", "Whether a zone is evacuated", "zone")
        self.store_eras = self._counter("store_eras", "New eras of the store that were met")
        self.clients_closed = self._counter(
            "clients_closed", "Clients' connections closed or rejected", "port", "reason"
        )
        self.task_failures = self._counter("task_failures", "Failures of background work", "task")
        self.latency = Histogram(
            "wagtailloft_latency_seconds",
            "Time from request to answer",
            ("team", "route"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queued = self._gauge("queued", "Requests that wait for a slot", "group", "member")
        self.busy = self._gauge("slots_busy", "Slots in use", "group", "member")
        self.pace_limit = self._gauge(
            "pace_limit", "Statements that may be in progress at once", "group", "member"
        )
        self.links = self._gauge("connections", "Connections open", "group", "member")
        self.turn_wait = Histogram(
            "wagtailloft_turn_wait_seconds",
            "Time that new work waited for a turn at its target, by priority class",
            ("priority",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.target_delay = self._gauge(
            "target_delay_seconds", "Expected delay of the last read placed", "group", "member"
        )
        self.ejections = self._counter(
            "target_ejections", "Members ejected", "group", "member", "reason"
        )
        self.term = self._gauge("term", "Term of the group", "group")
        self.lag = self._gauge("lag_entries", "Entries not yet applied", "group", "member")
        self.tokens_out = self._gauge("tokens_out", "Rate tokens held by hosts", "team")
        self.settings_revision = self._gauge("settings_revision", "Revision of settings in force")
        self.settings_age = self._gauge("settings_age_seconds", "Age of the last confirmation")
        self.hosts = self._gauge("hosts", "Hosts by state", "state")
        for kind in Kind:
            self.refusals.labels(kind.value)
        for reason in RETRY_REASONS:
            self.retries.labels(reason)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"wagtailloft_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(f"wagtailloft_{name}", help_text, labels, registry=self.registry)
