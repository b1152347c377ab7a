"""The entry: admit a caller's request, find the group's owner, and answer."""

import time
import uuid

import msgspec
from result import Err, Result

from wagtailloft import logs, session_tokens
from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import Access, Catalog
from wagtailloft.controllers.object_cache import SettingsState
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.metrics import Metrics
from wagtailloft.models import (
    Action,
    Answer,
    Call,
    Group,
    Host,
    HostState,
    Leadership,
    Mode,
    Position,
    Record,
    SessionPosition,
    Statement,
)
from wagtailloft.owner import Owners
from wagtailloft.rate_limiter import RateLimiter

OWNER_TRIES = 3
OWNER_PAUSE_S = 0.1
FIND_OUT_LEAST_S = 0.5
COUNTED = frozenset({Action.RUN, Action.BEGIN})


class Request(Record):
    """Hold a caller's request as the front read it."""

    action: Action
    route: str
    secret: str = ""
    session: str = ""
    request_id: str = ""
    deadline: float | None = None
    idempotent: bool = False
    max_age: float | None = None
    statement: Statement = Statement(sql="")
    mode: Mode = Mode.WRITE
    transaction: str = ""


class Reply(Record):
    """Hold the answer to a caller with the session token to bring next time."""

    answer: Answer
    session: str


class Entry:
    """Serve callers' requests."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        gossip: Gossip,
        peers: Peers,
        owners_here: Owners,
        rate_limiter: RateLimiter,
        session_tokens: session_tokens.SessionTokens,
        metrics: Metrics,
        decisions: Decisions,
    ) -> None:
        self._catalog = catalog
        self._gossip = gossip
        self._peers = peers
        self._owners = owners_here
        self._rate_limiter = rate_limiter
        self._tokens = session_tokens
        self._metrics = metrics
        self._decisions = decisions
        self._owned: frozenset[str] = frozenset()
        self._seen: tuple[tuple[Host, ...], int] = ((), -1)

    def serve(self, req: Request) -> Result[Reply, Refusal]:
        """Serve one request and count what became of it."""
        started = time.monotonic()
        req = msgspec.structs.replace(req, request_id=req.request_id or uuid.uuid4().hex)
        admitted = self._admit(req)
        if isinstance(admitted, Err):
            return self._refuse(req, admitted.err_value)
        access = admitted.ok_value
        served = self._serve(req, access, started)
        took = time.monotonic() - started
        self._metrics.requests.labels(access.team.name, req.route).inc()
        self._metrics.latency.labels(access.team.name, req.route).observe(took)
        if isinstance(served, Err):
            return self._refuse(req, served.err_value)
        return served

    def _admit(self, req: Request) -> Result[Access, Refusal]:
        if self._gossip.settings_state() is SettingsState.STALE:
            return Err(Refusal(kind=Kind.SETTINGS_STALE))
        return self._catalog.admit(req.route, req.secret)

    def _serve(self, req: Request, access: Access, started: float) -> Result[Reply, Refusal]:
        read = self._tokens.read(access.team.name, req.session)
        if isinstance(read, Err):
            return read
        positions = read.ok_value
        options = self._catalog.options(req.route, access.route.group)
        budget = min(req.deadline or options.deadline, options.deadline_limit)
        deadline = started + budget
        if req.action in COUNTED:
            limited = self._rate_limiter.admit(access.team.name, deadline)
            if isinstance(limited, Err):
                return limited
        call = self._call(req, access, positions)
        answered = self._send(call, deadline)
        return answered.map(lambda a: self._reply(a, access, positions))

    def _call(self, req: Request, access: Access, positions: tuple[SessionPosition, ...]) -> Call:
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
            return self._send_to_holder(call, deadline)
        while True:
            answered = self._try_owners(call, deadline)
            if answered.is_ok() or answered.err_value.kind is not Kind.NO_OWNER:
                return answered
            if time.monotonic() + OWNER_PAUSE_S >= deadline:
                return answered
            time.sleep(OWNER_PAUSE_S)

    def _try_owners(self, call: Call, deadline: float) -> Result[Answer, Refusal]:
        hosts = self._owners_of(call.group)
        refusal = Refusal(kind=Kind.NO_OWNER, detail="no live host")
        unknown: Refusal | None = None
        for host in hosts[:OWNER_TRIES]:
            try:
                answered = self._send_to(host, call, deadline)
            except NotSent as exc:
                refusal = Refusal(kind=Kind.NO_OWNER, detail=str(exc))
            except NoResponse as exc:
                refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc))
                unknown = refusal
                if call.mode is Mode.WRITE:
                    return self._find_out(call, host, refusal, deadline)
            else:
                if answered.is_ok():
                    return answered
                refusal = answered.err_value
                if refusal.kind is not Kind.NO_OWNER:
                    break
            self._metrics.retries.labels("owner_unreachable").inc()
            self._decisions.add(call.request_id, f"{host.name} did not serve it", refusal.detail)
        return Err(unknown or refusal)

    def _send_to_holder(self, call: Call, deadline: float) -> Result[Answer, Refusal]:
        name = call.transaction.partition(".")[0]
        host = self._gossip.find(name)
        refusal = Refusal(kind=Kind.TRANSACTION_LOST, detail="the host that held it is gone")
        if host is None or host.state is HostState.DEAD:
            return self._after_loss(call, host, refusal, deadline)
        try:
            return self._send_to(host, call, deadline)
        except NotSent as exc:
            refusal = Refusal(kind=Kind.TRANSACTION_LOST, detail=str(exc))
        except NoResponse as exc:
            refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=str(exc))
        return self._after_loss(call, host, refusal, deadline)

    def _after_loss(
        self, call: Call, lost: Host | None, refusal: Refusal, deadline: float
    ) -> Result[Answer, Refusal]:
        if call.action is not Action.COMMIT:
            return Err(refusal)
        unknown = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail=refusal.detail)
        return self._find_out(call, lost, unknown, deadline)

    def _find_out(
        self, call: Call, lost: Host | None, refusal: Refusal, deadline: float
    ) -> Result[Answer, Refusal]:
        """Ask another owner whether a write ran; it is never sent a second time."""
        question = msgspec.structs.replace(call, action=Action.FIND_OUT, transaction="")
        others = [h for h in self._owners_of(call.group) if lost is None or h.name != lost.name]
        until = max(deadline, time.monotonic() + FIND_OUT_LEAST_S)
        for host in others[:1]:
            try:
                found = self._send_to(host, question, until)
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
            return self._owners.serve(call)
        return self._peers.work(host, call)

    def _owners_of(self, group: str) -> tuple[Host, ...]:
        return self._gossip.owners(f"group:{group}", self.primary_zone(group))

    def primary_zone(self, group: str) -> str:
        """Return the availability zone of a group's published primary."""
        leadership = self._catalog.find(Leadership, group)
        described = self._catalog.find(Group, group)
        if leadership is None or described is None:
            return ""
        zones = {m.name: m.zone for m in described.members}
        return zones.get(leadership.primary, "")

    def owned_here(self) -> frozenset[str]:
        """Return the groups that this host should own."""
        seen = (self._gossip.hosts(), self._catalog.objects.revision)
        if seen[0] is not self._seen[0] or seen[1] != self._seen[1]:
            own = self._gossip.own().name
            names = [c.name for c in self._catalog.objects.all("group")]
            self._owned = frozenset(n for n in names if self._first_owner(n) == own)
            self._seen = seen
        return self._owned

    def _first_owner(self, group: str) -> str:
        first = self._owners_of(group)[:1]
        return first[0].name if first else ""

    def _reply(
        self, answer: Answer, access: Access, positions: tuple[SessionPosition, ...]
    ) -> Reply:
        if answer.position != Position():
            session_position = SessionPosition(group=access.route.group, position=answer.position)
            positions = session_tokens.merge(positions, session_position)
        return Reply(answer=answer, session=self._tokens.sign(access.team.name, positions))

    def _refuse(self, req: Request, refusal: Refusal) -> Err[Refusal]:
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
