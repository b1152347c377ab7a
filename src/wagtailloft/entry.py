"""Entry of callers' requests: admission, routing to the group's owner, and the reply."""

import time
import uuid

import msgspec
from result import Err, Result

from wagtailloft import logs, session_tokens
from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import Access, Catalog
from wagtailloft.controllers.freshness import SettingsState
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.group_service import GroupServices
from wagtailloft.metrics import Metrics
from wagtailloft.models import (
    Action,
    Answer,
    Call,
    Group,
    Host,
    HostState,
    Mode,
    Position,
    PublishedPrimary,
    Record,
    SessionPosition,
    SqlStatement,
)
from wagtailloft.rate_limiter import RateLimiter

MAX_OWNER_ATTEMPTS = 3
RESPONSE_TIME_S = 0.1  # kept of a deadline for the response to arrive, a tenth of it at most
OWNER_RETRY_INTERVAL_S = 0.1
OUTCOME_QUERY_MIN_S = 0.5
RATE_LIMITED_ACTIONS = frozenset({Action.RUN, Action.BEGIN})


class Request(Record):
    """A caller's request, parsed but not yet admitted; durations are in seconds."""

    action: Action
    route: str
    secret: str = ""
    session: str = ""
    request_id: str = ""
    deadline: float | None = None
    idempotent: bool = False
    max_age: float | None = None
    statement: SqlStatement = SqlStatement(sql="")
    mode: Mode = Mode.WRITE
    transaction: str = ""


class Reply(Record):
    """The answer to a caller, with the session token that its next request should carry."""

    answer: Answer
    session: str


class Entry:
    """Admits callers' requests and sends them to the owner of the route's group."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        gossip: Gossip,
        peers: Peers,
        group_services: GroupServices,
        rate_limiter: RateLimiter,
        session_tokens: session_tokens.SessionTokens,
        metrics: Metrics,
        decisions: Decisions,
    ) -> None:
        self._catalog = catalog
        self._gossip = gossip
        self._peers = peers
        self._group_services = group_services
        self._rate_limiter = rate_limiter
        self._session_tokens = session_tokens
        self._metrics = metrics
        self._decisions = decisions
        self._preferred_groups: frozenset[str] = frozenset()
        self._preferred_groups_version: tuple[tuple[Host, ...], int] = ((), -1)

    def serve(self, req: Request) -> Result[Reply, Refusal]:
        """Serve one request.

        Record the latency of an admitted one, and each refusal, in the metrics.
        """
        started = time.monotonic()
        req = msgspec.structs.replace(req, request_id=req.request_id or uuid.uuid4().hex)
        admitted = self._admit(req)
        if isinstance(admitted, Err):
            return self._record_refusal(req, admitted.err_value)
        access = admitted.ok_value
        served = self._serve(req, access, started)
        duration = time.monotonic() - started
        self._metrics.requests.labels(access.team.name, req.route).inc()
        self._metrics.latency.labels(access.team.name, req.route).observe(duration)
        if isinstance(served, Err):
            return self._record_refusal(req, served.err_value)
        return served

    def _admit(self, req: Request) -> Result[Access, Refusal]:
        if self._gossip.settings_state() is SettingsState.STALE:
            return Err(Refusal(kind=Kind.SETTINGS_STALE))
        return self._catalog.admit(req.route, req.secret)

    def _serve(self, req: Request, access: Access, started: float) -> Result[Reply, Refusal]:
        read = self._session_tokens.read(access.team.name, req.session)
        if isinstance(read, Err):
            return read
        positions = read.ok_value
        options = self._catalog.options(req.route, access.route.group)
        budget = min(req.deadline or options.deadline, options.deadline_limit)
        deadline = started + budget - min(RESPONSE_TIME_S, budget / 10)
        if req.action in RATE_LIMITED_ACTIONS:
            limited = self._rate_limiter.admit(access.team.name, deadline)
            if isinstance(limited, Err):
                return limited
        call = self._build_call(req, access, positions)
        answered = self._send(call, deadline)
        return answered.map(lambda a: self._build_reply(a, access, positions))

    def _build_call(
        self, req: Request, access: Access, positions: tuple[SessionPosition, ...]
    ) -> Call:
        group = access.route.group
        return Call(
            request_id=req.request_id,
            team=access.team.name,
            route=req.route,
            group=group,
            statement=req.statement,
            mode=req.mode,
            budget=0.0,
            after=session_tokens.position_of(positions, group),
            idempotent=req.idempotent,
            max_age=req.max_age,
            transaction=req.transaction,
            key_digest=access.key_digest,
            revision=self._catalog.objects.revision,
            action=req.action,
        )

    def _send(self, call: Call, deadline: float) -> Result[Answer, Refusal]:
        if call.transaction:
            return self._send_to_transaction_host(call, deadline)
        while True:
            answered = self._try_owners(call, deadline)
            if answered.is_ok() or answered.err_value.kind is not Kind.NO_OWNER:
                return answered
            if time.monotonic() + OWNER_RETRY_INTERVAL_S >= deadline:
                return answered
            time.sleep(OWNER_RETRY_INTERVAL_S)

    def _try_owners(self, call: Call, deadline: float) -> Result[Answer, Refusal]:
        hosts = self.owners_of(call.group)
        refusal = Refusal(kind=Kind.NO_OWNER, detail="no host is alive to own the group")
        unknown: Refusal | None = None
        for host in hosts[:MAX_OWNER_ATTEMPTS]:
            try:
                answered = self._send_to(host, call, deadline)
            except NotSent as exc:
                refusal = Refusal(kind=Kind.NO_OWNER, detail=str(exc))
            except NoResponse as exc:
                refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc))
                unknown = refusal
                if call.mode is Mode.WRITE:
                    return self._resolve_outcome(call, host, refusal, deadline)
            else:
                if answered.is_ok():
                    return answered
                refusal = answered.err_value
                if refusal.kind is not Kind.NO_OWNER:
                    break
            self._metrics.retries.labels("owner_unreachable").inc()
            self._decisions.add(call.request_id, f"not served by {host.name}", refusal.detail)
        return Err(unknown or refusal)

    def _send_to_transaction_host(self, call: Call, deadline: float) -> Result[Answer, Refusal]:
        name = call.transaction.partition(".")[0]
        host = self._gossip.find(name)
        refusal = Refusal(
            kind=Kind.TRANSACTION_LOST, detail="the transaction's host is dead or unknown"
        )
        if host is None or host.state is HostState.DEAD:
            return self._handle_lost_host(call, host, refusal, deadline)
        try:
            return self._send_to(host, call, deadline)
        except NotSent as exc:
            refusal = Refusal(kind=Kind.TRANSACTION_LOST, detail=str(exc))
        except NoResponse as exc:
            refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc))
        return self._handle_lost_host(call, host, refusal, deadline)

    def _handle_lost_host(
        self, call: Call, lost_host: Host | None, refusal: Refusal, deadline: float
    ) -> Result[Answer, Refusal]:
        if call.action is not Action.COMMIT:
            return Err(refusal)
        unknown = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=refusal.detail)
        return self._resolve_outcome(call, lost_host, unknown, deadline)

    def _resolve_outcome(
        self, call: Call, lost_host: Host | None, refusal: Refusal, deadline: float
    ) -> Result[Answer, Refusal]:
        """Ask another owner whether a write was executed.

        The write itself is not sent again, since it could then be executed twice.
        """
        query = msgspec.structs.replace(call, action=Action.RESOLVE_OUTCOME, transaction="")
        others = [
            h for h in self.owners_of(call.group) if lost_host is None or h.name != lost_host.name
        ]
        query_deadline = max(deadline, time.monotonic() + OUTCOME_QUERY_MIN_S)
        for host in others[:1]:
            try:
                found = self._send_to(host, query, query_deadline)
            except (NotSent, NoResponse):
                continue
            if found.is_ok():
                return found
        return Err(refusal)

    def _send_to(self, host: Host, call: Call, deadline: float) -> Result[Answer, Refusal]:
        budget = deadline - time.monotonic()
        if budget <= 0:
            return Err(Refusal(kind=Kind.DEADLINE))
        call = msgspec.structs.replace(call, budget=budget)
        if host.name == self._gossip.own().name:
            return self._group_services.serve(call)
        return self._peers.work(host, call)

    def owners_of(self, group: str) -> tuple[Host, ...]:
        """Return the live hosts in order of preference as owner of a group."""
        return self._gossip.owners(f"group:{group}", self.primary_zone(group))

    def primary_zone(self, group: str) -> str:
        """Return the availability zone of a group's published primary, or an empty string."""
        published = self._catalog.find(PublishedPrimary, group)
        description = self._catalog.find(Group, group)
        if published is None or description is None:
            return ""
        zones = {m.name: m.zone for m in description.members}
        return zones.get(published.primary, "")

    def preferred_groups(self) -> frozenset[str]:
        """Return the groups of which this host is the preferred owner.

        The result is cached until the fleet's hosts or the settings change.
        """
        version = (self._gossip.hosts(), self._catalog.objects.revision)
        if (
            version[0] is not self._preferred_groups_version[0]
            or version[1] != self._preferred_groups_version[1]
        ):
            own = self._gossip.own().name
            names = [c.name for c in self._catalog.objects.all("group")]
            self._preferred_groups = frozenset(n for n in names if self._preferred_owner(n) == own)
            self._preferred_groups_version = version
        return self._preferred_groups

    def _preferred_owner(self, group: str) -> str:
        owners = self.owners_of(group)[:1]
        return owners[0].name if owners else ""

    def _build_reply(
        self, answer: Answer, access: Access, positions: tuple[SessionPosition, ...]
    ) -> Reply:
        if answer.position != Position():
            session_position = SessionPosition(group=access.route.group, position=answer.position)
            positions = session_tokens.merge(positions, session_position)
        return Reply(answer=answer, session=self._session_tokens.sign(access.team.name, positions))

    def _record_refusal(self, req: Request, refusal: Refusal) -> Err[Refusal]:
        self._metrics.refusals.labels(refusal.kind.value).inc()
        self._decisions.add(req.request_id, f"refused: {refusal.kind.value}", refusal.detail)
        logs.event(
            "refused",
            request=req.request_id,
            route=req.route,
            kind=refusal.kind.value,
            detail=refusal.detail,
        )
        return Err(refusal)
