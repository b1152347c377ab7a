"""Serve the operators' requests: read and change objects, report status and decisions."""

import time
from concurrent.futures import Executor

import msgspec
from result import Err, Ok, Result

from wagtailloft import clock, logs, options
from wagtailloft.adapters.object_api import ObjectApi, WriteConflict
from wagtailloft.adapters.peers import Peers
from wagtailloft.catalog import TYPE_BY_KIND, Catalog
from wagtailloft.controllers.freshness import FreshnessTracker
from wagtailloft.decisions import Decision, Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.gossip import Gossip
from wagtailloft.group_service import GroupService, GroupServices
from wagtailloft.leases import Leases
from wagtailloft.models import (
    Change,
    Group,
    Host,
    HostState,
    Key,
    Record,
    Route,
    SettingsLevel,
    Team,
    decode,
)
from wagtailloft.platform_watcher import PlatformWatcher

EDITABLE = ("team", "key", "group", "route", "level")
# A removal waits for a new era of the store to be settled, which takes up to 3 s.
SETTLE_WAIT_S = 5.0
SETTLE_CHECK_S = 0.05
CONFIRM_WAIT_S = 2.0
CONFIRM_CHECK_S = 0.05
LEVEL_PREFIXES = ("region:", "zone:", "group:", "route:")


class MemberStatus(Record):
    """Describe one member of a group.

    `received` and `applied` are log positions written as term.index, empty if the member did not
    report them. `lag_entries` counts the log entries from the group's latest received one back to
    the member's applied one. `queued` and `connections` count the owner's requests that wait for
    the member and the owner's connections to it.
    """

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
    """Describe one group as this host sees it; `primary` is empty if none is reachable."""

    name: str
    owner: str
    term: int
    primary: str
    transactions: int
    members: tuple[MemberStatus, ...]


class HostStatus(Record):
    """Describe one host and the groups that it serves, as preferred owner or backup.

    `settings_age` is in seconds. `spreader` tells whether the host watches the object API for its
    region; `shards` names the shards of teams whose rate tokens it may grant.
    """

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
    """Describe the fleet as one host sees it.

    `asked` is the host that collected the status, `unreachable` names the hosts that did not
    answer it, and `unserved` the groups for which no host that answered reports a primary.
    """

    asked: str
    hosts: tuple[HostStatus, ...]
    unreachable: tuple[str, ...]
    unserved: tuple[str, ...] = ()


class WriteResult(Record):
    """The revision at which the platform accepted a change."""

    revision: int


class OperatorService:
    """Serve operators' requests, and this host's status and decisions to other hosts."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        object_api: ObjectApi,
        platform_watcher: PlatformWatcher,
        gossip: Gossip,
        freshness: FreshnessTracker,
        peers: Peers,
        group_services: GroupServices,
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
        self._group_services = group_services
        self._leases = leases
        self._decisions = decisions
        self._executor = executor

    def read(self, kind: str, name: str) -> Result[Change, Refusal]:
        """Read an object from the platform."""
        if kind not in TYPE_BY_KIND:
            return _refuse(Kind.NOT_FOUND, f"no such kind '{kind}'")
        found = self._object_api.get(kind, name)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return _refuse(Kind.NOT_FOUND, f"no {kind} '{name}'")
        return Ok(found.ok_value)

    def list_objects(self, kind: str) -> Result[tuple[Change, ...], Refusal]:
        """Return all objects of a kind by name, after refreshing the cache from the platform."""
        if kind not in TYPE_BY_KIND:
            return _refuse(Kind.NOT_FOUND, f"no such kind '{kind}'")
        if not self._platform_watcher.refresh():
            return _refuse(Kind.PLATFORM_DOWN, "the platform's object API does not answer")
        return Ok(tuple(sorted(self._catalog.objects.all(kind), key=lambda c: c.name)))

    def write(
        self, kind: str, name: str, raw: bytes, version: int
    ) -> Result[WriteResult, Refusal | WriteConflict]:
        """Validate an object, then write it if its current version is `version`."""
        decoded = self._decode_valid(kind, name, raw)
        if isinstance(decoded, Err):
            return decoded
        return self._put(kind, name, decoded.ok_value, version)

    def remove(
        self, kind: str, name: str, version: int
    ) -> Result[WriteResult, Refusal | WriteConflict]:
        """Remove an object that nothing uses if its current version is `version`.

        While the store has forgotten objects, wait until they are written again: a host could not
        tell an object that is removed now from one that is forgotten.
        """
        if kind not in EDITABLE:
            return _refuse(Kind.NOT_FOUND, f"objects of kind '{kind}' can't be removed")
        if not self._wait_until_settled():
            return _refuse(Kind.PLATFORM_DOWN, "the store is being repaired after a restore")
        references = self._references_to(kind, name)
        if references:
            return _refuse(Kind.CONFLICT, f"{kind} '{name}' is used by {', '.join(references)}")
        return self._put(kind, name, None, version)

    def explain_settings(self, route: str, group: str) -> tuple[options.OptionOrigin, ...]:
        """Return each option in force for a route or group, and the level that sets it."""
        found = self._catalog.find(Route, route) if route else None
        group = group or (found.group if found else "")
        return options.explain(self._catalog.levels(route, group))

    def explain(self, subject: str) -> tuple[Decision, ...]:
        """Return the decisions of all reachable hosts about a subject, oldest first."""
        decisions = list(self._decisions.for_subject(subject))
        futures = [
            self._executor.submit(self._fetch_decisions, h, subject) for h in self._peers_not_dead()
        ]
        for future in futures:
            decisions.extend(future.result())
        return tuple(sorted(decisions, key=lambda d: d.time))

    def local_decisions(self, subject: str) -> bytes:
        """Return this host's decisions about a subject as JSON."""
        return msgspec.json.encode(self._decisions.for_subject(subject))

    def status(self) -> FleetStatus:
        """Collect the status of all hosts that are not dead."""
        peers = self._peers_not_dead()
        futures = [self._executor.submit(self._fetch_status, h) for h in peers]
        answers = [f.result() for f in futures]
        hosts = [self.local_status(), *(a for a in answers if a is not None)]
        unreachable = tuple(h.name for h, a in zip(peers, answers, strict=True) if a is None)
        served = {g.name for h in hosts for g in h.groups if g.primary}
        groups = {c.name for c in self._catalog.objects.all("group")}
        return FleetStatus(
            asked=self._gossip.own().name,
            hosts=tuple(sorted(hosts, key=lambda h: h.name)),
            unreachable=unreachable,
            unserved=tuple(sorted(groups - served)),
        )

    def local_status(self) -> HostStatus:
        """Return the status of this host."""
        own = self._gossip.own()
        return HostStatus(
            name=own.name,
            state=own.state.value,
            zone=own.zone,
            region=own.region,
            revision=self._catalog.objects.revision,
            settings=self._gossip.settings_state().value,
            settings_age=round(min(self._freshness.age(clock.now()), 1e6), 3),
            spreader=self._platform_watcher.is_platform_watcher(),
            shards=self._leases.held_shards(),
            groups=tuple(self._group_status(s) for s in self._group_services.open_groups()),
        )

    def _group_status(self, service: GroupService) -> GroupStatus:
        view = service.monitor.view()
        primary = view.primary
        latest_index = max(
            (m.progress.received.index for m in view.members if m.progress), default=0
        )
        members = []
        for member in view.members:
            endpoint = service.endpoints[member.member.name]
            report = member.progress
            members.append(
                MemberStatus(
                    name=member.member.name,
                    role=report.role.value if report else "unknown",
                    reachable=member.reachable,
                    leaving=member.member.leaving,
                    received=f"{report.received.term}.{report.received.index}" if report else "",
                    applied=f"{report.applied.term}.{report.applied.index}" if report else "",
                    lag_entries=latest_index - report.applied.index if report else 0,
                    queued=endpoint.gate.queued,
                    connections=endpoint.pool.open_count,
                )
            )
        return GroupStatus(
            name=service.group.name,
            owner=self._gossip.own().name,
            term=view.term,
            primary=primary.member.name if primary and primary.reachable else "",
            transactions=service.transactions.count,
            members=tuple(members),
        )

    def _put(
        self, kind: str, name: str, value: Record | None, version: int
    ) -> Result[WriteResult, Refusal | WriteConflict]:
        if not self._gossip.hears_majority():
            return _refuse(
                Kind.NO_MAJORITY,
                "this host hears from too few hosts to accept changes; try another host",
            )
        put = self._object_api.put(kind, name, value, version)
        if isinstance(put, Err):
            return put
        revision = put.ok_value.revision
        logs.event(
            "settings_accepted", kind=kind, name=_display_name(kind, name), revision=revision
        )
        self._decisions.add(
            f"{kind}:{_display_name(kind, name)}", "accepted", f"revision {revision}"
        )
        self._platform_watcher.refresh()
        if not self._wait_until_known(revision):
            detail = f"stored at revision {revision}, but not yet known to a majority of the hosts"
            return _refuse(Kind.OUTCOME_UNKNOWN, detail)
        return Ok(WriteResult(revision=revision))

    def _wait_until_known(self, revision: int) -> bool:
        """Wait until a majority of the hosts knows a revision; return whether it does.

        Hosts that hear no fresh host, but a majority of all, may use their settings in an outage,
        and learn what a majority knows. That this host heard from a majority before the write does
        not tell that it still does.
        """
        deadline = time.monotonic() + CONFIRM_WAIT_S
        while not (
            self._catalog.objects.revision >= revision and self._gossip.known_by_majority(revision)
        ):
            if time.monotonic() >= deadline:
                logs.warn("change_unconfirmed", revision=revision)
                return False
            self._gossip.exchange_with_all()
            time.sleep(CONFIRM_CHECK_S)
        return True

    def _wait_until_settled(self) -> bool:
        deadline = time.monotonic() + SETTLE_WAIT_S
        while not self._catalog.objects.is_complete():
            if time.monotonic() > deadline:
                return False
            time.sleep(SETTLE_CHECK_S)
        return True

    def _decode_valid(self, kind: str, name: str, raw: bytes) -> Result[Record, Refusal]:
        if kind not in EDITABLE:
            return _refuse(Kind.NOT_FOUND, f"objects of kind '{kind}' can't be written")
        try:
            value = decode(raw, TYPE_BY_KIND[kind])
        except msgspec.DecodeError as exc:
            return _refuse(Kind.BAD_REQUEST, f"{kind} '{name}': {exc}")
        own_name = value.digest if isinstance(value, Key) else value.name
        error = self._validation_error(value)
        if own_name != name:
            error = f"the object calls itself '{_display_name(kind, own_name)}'"
        if error:
            return _refuse(Kind.BAD_REQUEST, f"{kind} '{_display_name(kind, name)}': {error}")
        return Ok(value)

    def _validation_error(self, value: Record) -> str:
        if isinstance(value, Team):
            valid = 0 < value.rate <= 1e6 and 1 <= value.burst <= 1e6 and 0 < value.weight <= 1e3
            return (
                ""
                if valid
                else "expected rate over 0 up to 1e6, burst 1 to 1e6, weight over 0 up to 1e3"
            )
        if isinstance(value, Key):
            return "" if self._exists("team", value.team) else f"no team '{value.team}'"
        if isinstance(value, Group):
            return _group_error(value)
        if isinstance(value, Route):
            return self._route_error(value)
        if isinstance(value, SettingsLevel):
            return self._level_error(value)
        return ""

    def _route_error(self, route: Route) -> str:
        if not self._exists("group", route.group):
            return f"no group '{route.group}'"
        missing = [t for t in route.teams if not self._exists("team", t)]
        return f"no team '{missing[0]}'" if missing else ""

    def _level_error(self, level: SettingsLevel) -> str:
        if level.name != options.DEFAULTS_LEVEL and not level.name.startswith(LEVEL_PREFIXES):
            return (
                f"a level is {options.DEFAULTS_LEVEL}, "
                "or a name that follows region:, zone:, group: or route:"
            )
        kind, _, name = level.name.partition(":")
        if kind in ("group", "route") and not self._exists(kind, name):
            return f"no {kind} '{name}'"
        for option, text in level.options.items():
            parsed = options.parse(option, text)
            if isinstance(parsed, Err):
                return f"[{level.name}] {option}: {parsed.err_value}"
        return ""

    def _exists(self, kind: str, name: str) -> bool:
        return self._catalog.objects.get(kind, name) is not None

    def _references_to(self, kind: str, name: str) -> list[str]:
        routes = self._catalog.all(Route)
        if kind == "group":
            return [f"route {r.name}" for r in routes if r.group == name]
        if kind == "team":
            references = [f"route {r.name}" for r in routes if name in r.teams]
            return references + ["a key" for k in self._catalog.all(Key) if k.team == name]
        return []

    def _peers_not_dead(self) -> tuple[Host, ...]:
        own = self._gossip.own().name
        reachable_states = (HostState.ALIVE, HostState.SUSPECT, HostState.LEAVING)
        return tuple(
            h for h in self._gossip.hosts() if h.name != own and h.state in reachable_states
        )

    def _fetch_decisions(self, host: Host, subject: str) -> list[Decision]:
        try:
            return decode(self._peers.explain(host, subject), list[Decision])
        except (NotSent, NoResponse, msgspec.DecodeError):
            return []

    def _fetch_status(self, host: Host) -> HostStatus | None:
        try:
            return decode(self._peers.describe(host), HostStatus)
        except (NotSent, NoResponse, msgspec.DecodeError):
            return None


def _group_error(group: Group) -> str:
    names = [m.name for m in group.members]
    if not names or len(set(names)) != len(names):
        return "needs at least one member and a unique name for each"
    if group.slots < 1 or group.connections < 2:
        return "expected slots 1 or more and connections 2 or more"
    return ""


def _display_name(kind: str, name: str) -> str:
    return f"{name[:12]}..." if kind == "key" else name


def _refuse(kind: Kind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=kind, detail=detail))
