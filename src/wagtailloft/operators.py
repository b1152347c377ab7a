"""What operators may read and change through any daemon."""

import time
from concurrent.futures import Executor

import msgspec
from result import Err, Ok, Result

from wagtailloft import logs, options
from wagtailloft.adapters.object_api import Conflict, ObjectApi
from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import TYPE_BY_KIND, Catalog
from wagtailloft.controllers.object_cache import Freshness
from wagtailloft.decisions import Decision, Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.leases import Leases
from wagtailloft.models import (
    Change,
    Group,
    Host,
    HostState,
    Key,
    Level,
    Record,
    Route,
    Team,
)
from wagtailloft.owner import GroupOwner, Owners
from wagtailloft.platform_watcher import PlatformWatcher

EDITABLE = ("team", "key", "group", "route", "level")
LEVEL_PREFIXES = ("region:", "zone:", "group:", "route:")


class MemberStatus(Record):
    """Describe one member for an operator."""

    name: str
    role: str
    reachable: bool
    leaving: bool
    received: str
    applied: str
    lag_entries: int
    queued: int
    connections: int


class GroupStatus(Record):
    """Describe one group for an operator."""

    name: str
    owner: str
    term: int
    primary: str
    transactions: int
    members: tuple[MemberStatus, ...]


class HostStatus(Record):
    """Describe one host for an operator."""

    name: str
    state: str
    zone: str
    region: str
    revision: int
    settings: str
    settings_age: float
    spreader: bool
    shards: tuple[str, ...]
    groups: tuple[GroupStatus, ...]


class FleetStatus(Record):
    """Describe the fleet as one host sees it."""

    asked: str
    hosts: tuple[HostStatus, ...]
    unreachable: tuple[str, ...]
    unserved: tuple[str, ...] = ()


class Written(Record):
    """Tell an operator that a change was accepted."""

    revision: int


class Operators:
    """Serve the operators' surface."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        object_api: ObjectApi,
        platform_watcher: PlatformWatcher,
        gossip: Gossip,
        freshness: Freshness,
        peers: Peers,
        owners: Owners,
        leases: Leases,
        decisions: Decisions,
        executor: Executor,
    ) -> None:
        self._catalog = catalog
        self._object_api = object_api
        self._platform_watcher = platform_watcher
        self._gossip = gossip
        self._freshness = freshness
        self._peers = peers
        self._owners = owners
        self._leases = leases
        self._decisions = decisions
        self._executor = executor

    def read(self, kind: str, name: str) -> Result[Change, Refusal]:
        """Return an object as the platform has it now."""
        if kind not in TYPE_BY_KIND:
            return _err(Kind.NOT_FOUND, f"no such kind '{kind}'")
        found = self._object_api.get(kind, name)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return _err(Kind.NOT_FOUND, f"no {kind} '{name}'")
        return Ok(found.ok_value)

    def listed(self, kind: str) -> Result[tuple[Change, ...], Refusal]:
        """Return all objects of a kind, current at the platform."""
        if kind not in TYPE_BY_KIND:
            return _err(Kind.NOT_FOUND, f"no such kind '{kind}'")
        if not self._platform_watcher.refresh():
            return _err(Kind.PLATFORM_DOWN, "the platform's object API does not answer")
        return Ok(tuple(sorted(self._catalog.objects.all(kind), key=lambda c: c.name)))

    def write(
        self, kind: str, name: str, raw: bytes, version: int
    ) -> Result[Written, Refusal | Conflict]:
        """Check an object whole, then write it if its version is still the given one."""
        checked = self._check(kind, name, raw)
        if isinstance(checked, Err):
            return checked
        return self._put(kind, name, checked.ok_value, version)

    def remove(self, kind: str, name: str, version: int) -> Result[Written, Refusal | Conflict]:
        """Remove an object if its version is still the given one."""
        if kind not in EDITABLE:
            return _err(Kind.NOT_FOUND, f"'{kind}' can't be removed")
        used = self._users_of(kind, name)
        if used:
            return _err(Kind.CONFLICT, f"{kind} '{name}' is used by {', '.join(used)}")
        return self._put(kind, name, None, version)

    def explain_settings(self, route: str, group: str) -> tuple[options.Explained, ...]:
        """Return each option with the level that gives it."""
        found = self._catalog.find(Route, route) if route else None
        group = group or (found.group if found else "")
        return options.explain(self._catalog.levels(route, group))

    def explain(self, subject: str) -> tuple[Decision, ...]:
        """Return what all reachable hosts decided about a subject, in time order."""
        found = list(self._decisions.about(subject))
        futs = [self._executor.submit(self._ask_explain, h, subject) for h in self._others()]
        for fut in futs:
            found.extend(fut.result())
        return tuple(sorted(found, key=lambda d: d.time))

    def explain_here(self, subject: str) -> bytes:
        """Return this host's decisions about a subject as JSON."""
        return msgspec.json.encode(self._decisions.about(subject))

    def status(self) -> FleetStatus:
        """Return the status of the fleet, asked from all live hosts."""
        others = self._others()
        futs = [self._executor.submit(self._ask_status, h) for h in others]
        answers = [f.result() for f in futs]
        hosts = [self.status_here(), *(a for a in answers if a is not None)]
        missing = tuple(h.name for h, a in zip(others, answers, strict=True) if a is None)
        served = {g.name for h in hosts for g in h.groups if g.primary}
        groups = {c.name for c in self._catalog.objects.all("group")}
        return FleetStatus(
            asked=self._gossip.own().name,
            hosts=tuple(sorted(hosts, key=lambda h: h.name)),
            unreachable=missing,
            unserved=tuple(sorted(groups - served)),
        )

    def status_here(self) -> HostStatus:
        """Return the status of this host."""
        own = self._gossip.own()
        return HostStatus(
            name=own.name,
            state=own.state.value,
            zone=own.zone,
            region=own.region,
            revision=self._catalog.objects.revision,
            settings=self._gossip.settings_state().value,
            settings_age=round(min(self._freshness.age(time.monotonic()), 1e6), 3),
            spreader=self._platform_watcher.is_platform_watcher(),
            shards=self._leases.held_shards(),
            groups=tuple(self._group(o) for o in self._owners.held()),
        )

    def _group(self, owner: GroupOwner) -> GroupStatus:
        view = owner.monitor.view()
        primary = view.primary
        head = max((m.progress.received.index for m in view.members if m.progress), default=0)
        members = []
        for member in view.members:
            access = owner.accesses[member.member.name]
            report = member.progress
            members.append(
                MemberStatus(
                    name=member.member.name,
                    role=report.role.value if report else "unknown",
                    reachable=member.reachable,
                    leaving=member.member.leaving,
                    received=f"{report.received.term}.{report.received.index}" if report else "",
                    applied=f"{report.applied.term}.{report.applied.index}" if report else "",
                    lag_entries=head - report.applied.index if report else 0,
                    queued=access.gate.queued,
                    connections=access.pool.open,
                )
            )
        return GroupStatus(
            name=owner.group.name,
            owner=self._gossip.own().name,
            term=view.term,
            primary=primary.member.name if primary and primary.reachable else "",
            transactions=owner.transactions.count,
            members=tuple(members),
        )

    def _put(
        self, kind: str, name: str, value: Record | None, version: int
    ) -> Result[Written, Refusal | Conflict]:
        if not self._gossip.hears_majority():
            return _err(Kind.NO_MAJORITY, "try another host")
        put = self._object_api.put(kind, name, value, version)
        if isinstance(put, Err):
            return put
        revision = put.ok_value.revision
        logs.event("settings_accepted", kind=kind, name=_shown(kind, name), revision=revision)
        self._decisions.add(f"{kind}:{_shown(kind, name)}", "accepted", f"revision {revision}")
        self._platform_watcher.refresh()
        return Ok(Written(revision=revision))

    def _check(self, kind: str, name: str, raw: bytes) -> Result[Record, Refusal]:
        if kind not in EDITABLE:
            return _err(Kind.NOT_FOUND, f"'{kind}' can't be written")
        try:
            value = msgspec.json.decode(raw, type=TYPE_BY_KIND[kind], strict=True)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _err(Kind.BAD_REQUEST, f"{kind} '{name}': {exc}")
        fault = self._fault(value)
        if fault:
            return _err(Kind.BAD_REQUEST, f"{kind} '{_shown(kind, name)}': {fault}")
        return Ok(value)

    def _fault(self, value: Record) -> str:
        if isinstance(value, Team):
            fine = 0 < value.rate <= 1e6 and 1 <= value.burst <= 1e6 and 0 < value.weight <= 1e3
            return "" if fine else "rate over 0, burst 1 or more, weight over 0"
        if isinstance(value, Key):
            return "" if self._known("team", value.team) else f"no team '{value.team}'"
        if isinstance(value, Group):
            return _group_fault(value)
        if isinstance(value, Route):
            return self._route_fault(value)
        if isinstance(value, Level):
            return self._level_fault(value)
        return ""

    def _route_fault(self, route: Route) -> str:
        if not self._known("group", route.group):
            return f"no group '{route.group}'"
        missing = [t for t in route.teams if not self._known("team", t)]
        return f"no team '{missing[0]}'" if missing else ""

    def _level_fault(self, level: Level) -> str:
        if level.name != options.DEFAULTS and not level.name.startswith(LEVEL_PREFIXES):
            return f"a level is {options.DEFAULTS}, region:, zone:, group: or route: and a name"
        kind, _, name = level.name.partition(":")
        if kind in ("group", "route") and not self._known(kind, name):
            return f"no {kind} '{name}'"
        for option, text in level.options.items():
            parsed = options.parse(option, text)
            if isinstance(parsed, Err):
                return f"[{level.name}] {option}: {parsed.err_value}"
        return ""

    def _known(self, kind: str, name: str) -> bool:
        return self._catalog.objects.get(kind, name) is not None

    def _users_of(self, kind: str, name: str) -> list[str]:
        routes = self._catalog.all(Route)
        if kind == "group":
            return [f"route {r.name}" for r in routes if r.group == name]
        if kind == "team":
            users = [f"route {r.name}" for r in routes if name in r.teams]
            return users + ["a key" for k in self._catalog.all(Key) if k.team == name]
        return []

    def _others(self) -> tuple[Host, ...]:
        own = self._gossip.own().name
        live = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)
        return tuple(h for h in self._gossip.hosts() if h.name != own and h.state in live)

    def _ask_explain(self, host: Host, subject: str) -> list[Decision]:
        try:
            return msgspec.json.decode(self._peers.explain(host, subject), type=list[Decision])
        except (NotSent, NoResponse):
            return []

    def _ask_status(self, host: Host) -> HostStatus | None:
        try:
            return msgspec.json.decode(self._peers.describe(host), type=HostStatus)
        except (NotSent, NoResponse):
            return None


def _group_fault(group: Group) -> str:
    names = [m.name for m in group.members]
    if not names or len(set(names)) != len(names):
        return "it needs members, each with a name of its own"
    if group.slots < 1 or group.connections < 2:
        return "slots 1 or more, connections 2 or more"
    return ""


def _shown(kind: str, name: str) -> str:
    return f"{name[:12]}..." if kind == "key" else name


def _err(kind: Kind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))
