"""Pull the store's topics from other hosts: from the zone's reader, and from more when needed."""

import asyncio
import math
import random
from typing import Protocol

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.host_reports import HostReports
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import (
    AgedChanges,
    AgedRevision,
    KnownRevision,
    Message,
    PullRequest,
    PullResponse,
    ZoneReport,
)
from wagtailloft.fleet.records import Changes, Configuration, PrimaryAssignment, Topic
from wagtailloft.fleet.topic_cache import NEVER

PULL_INTERVAL_S = 0.4  # allows several pulls in the 3 s within which a new configuration applies
PULL_TIMEOUT_S = 0.6  # covers a connect and a round trip across zones
WIDE_PULL_INTERVAL_S = 0.25  # allows two pulls between WIDER_PULL_AGE_S and assignment_max_age
DELAY_PER_PULL_S = 0.004  # added for each host asked, whose answer takes up to 1 ms of CPU time
# How long a host hears from its zone's hosts after another host asked it to; several pulls.
COLLECT_S = 2.0
# OLD_CACHE_AGE_S less a pull interval; above it, other zones' readers are pulled from too.
WIDER_PULL_AGE_S = 1.5
FALLBACK_REPORTERS = 3  # with half of a zone cut off, 15 of 16 rounds reach one of four hosts
RANDOM_PULL_HOSTS = 1  # can find a host that reads the store when no zone's first host can
# How long a host that reported the store as unreachable is not chosen as a reader.
STORE_UNREACHABLE_TTL_S = 3.0
# The only topic read while the store is unreachable, since refused calls have a price.
OUTAGE_PROBE_TOPIC = Topic.SETTINGS


class PulledCache(Protocol):
    """The cache that pulls keep current and answer from. Ages are in seconds."""

    topics: tuple[Topic, ...]
    assignment_max_age: float
    assignments_digest: int
    store_unreachable: bool

    def age(self) -> float:
        """Return the seconds since the caches of settings and fleet last mirrored the store."""

    def assignments_age(self) -> float:
        """Return the seconds since no assignment was stored that this host does not know."""

    def revision(self, topic: Topic) -> int:
        """Return the revision up to which a topic is cached."""

    def topic_age(self, topic: Topic) -> float:
        """Return the seconds since a topic was last known to be current."""

    def changes_since(self, topic: Topic, revision: int) -> Changes:
        """Return the changes of a topic after a revision."""

    def apply(self, changes: Changes, confirmed_at: float) -> bool:
        """Cache changes that were current at a time; return False if they are older than cached."""

    def assignments(self) -> tuple[PrimaryAssignment, ...]:
        """Return every known primary assignment."""

    def accept_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Store an assignment if it is later than the known one; return whether it was."""

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""

    def accept_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration from another host in force if it is later; return whether it was."""

    def may_report(self) -> bool:
        """Tell whether this host's assignments count towards a majority of the hosts."""


class PeerPulls:
    """Pull changes into a cache, answer the pulls of others, and tell who reads the store."""

    def __init__(
        self, *, cache: PulledCache, hosts: Hosts, mesh: Mesh, reports: HostReports
    ) -> None:
        self._cache = cache
        self._hosts = hosts
        self._reports = reports
        self._rng = random.Random()
        self._collect_until = 0.0
        self._reporter_failed_at: dict[str, float] = {}
        self._answered_reporters: dict[str, str] = {}  # by zone, the last that reported
        self._freshest_source = ("", NEVER)
        self._unreachable_until: dict[str, float] = {}
        mesh.register_handler(PullRequest, self._handle_pull_request)

    async def run(self) -> None:
        """Pull from the zone's reader, and from more hosts when the cache gets old."""
        while True:
            interval = WIDE_PULL_INTERVAL_S if self._needs_wide_pull() else PULL_INTERVAL_S
            await asyncio.sleep(interval * self._rng.uniform(0.9, 1.1))
            if self._needs_wide_pull() or self._collects():
                pull_count = await self._pull_widely()
            else:
                source = self._reader(self._hosts.own.zone)
                pull_count = 0 if source in ("", self._hosts.own.name) else 1
                if pull_count:
                    await self._try_pull(source, self._cache.topics)
            await asyncio.sleep(DELAY_PER_PULL_S * pull_count)

    def is_reader(self) -> bool:
        """Tell whether this host reads the store for its zone."""
        return self._reader(self._hosts.own.zone) in ("", self._hosts.own.name)

    def mark_store(self, *, unreachable: bool) -> None:
        """Record whether this host reaches the store."""
        self._unreachable_until[self._hosts.own.name] = math.inf if unreachable else 0.0

    def _needs_wide_pull(self) -> bool:
        if self._cache.store_unreachable:
            return True
        return max(self._cache.age(), self._cache.assignments_age()) > WIDER_PULL_AGE_S

    async def _pull_widely(self) -> int:
        """Ask several hosts what they have, then pull it once; return the number of hosts asked.

        The same configuration from every host asked would fill small network links.
        """
        reporters = [n for zone in self._hosts.zones() for n in self._reporters(zone)]
        sources = self._wide_sources(reporters)
        asked = [
            self._try_pull(n, self._cache.topics, names_only=True, collect=n in reporters)
            for n in sources
        ]
        zone_hosts = self._zone_hosts_to_hear(sources)
        asked += [self._try_pull(n, (Topic.FLEET,), names_only=True) for n in zone_hosts]
        responses = await asyncio.gather(*asked)
        answered = dict(zip(sources, responses, strict=False))
        for name in (n for n in reporters if n in answered and answered[n] is None):
            host = self._hosts.get(name)
            if host is not None:
                self._reporter_failed_at[host.zone] = now()
                if self._answered_reporters.get(host.zone) == name:
                    del self._answered_reporters[host.zone]
        newest = _newest_sources(list(answered.items()), self._configuration_version())
        await asyncio.gather(*(self._try_pull(n, topics) for n, topics in newest.items()))
        return len(asked)

    async def _try_pull(
        self,
        name: str,
        topics: tuple[Topic, ...],
        *,
        names_only: bool = False,
        collect: bool = False,
    ) -> PullResponse | None:
        try:
            return await self.pull(name, topics, names_only=names_only, collect=collect)
        except (NotSent, NoResponse) as exc:
            logs.event("pull_failed", host=name, why=str(exc))
            return None

    async def pull(
        self,
        name: str,
        topics: tuple[Topic, ...],
        *,
        names_only: bool = False,
        collect: bool = False,
    ) -> PullResponse | None:
        """Fetch changes of topics from another host; raise NotSent or NoResponse.

        The ages in the response are counted from when the request was sent. PullRequest tells what
        names_only and collect ask for.
        """
        sent_at = now()
        known = {t: self._cache.revision(t) for t in topics}
        evacuations_revision = known.pop(Topic.EVACUATIONS, None)
        message = PullRequest(
            host=self._hosts.own.name,
            known_revisions=tuple(KnownRevision(topic=t, revision=r) for t, r in known.items()),
            assignments_digest=self._cache.assignments_digest,
            names_only=names_only,
            collect=collect,
            configuration_version=self._configuration_version(),
            evacuations_revision=evacuations_revision,
        )
        response = await self._hosts.call(name, message, PULL_TIMEOUT_S)
        if not isinstance(response, PullResponse):
            return None
        # First, since changes of a new era may have an older configuration.
        if response.configuration is not None:
            self._cache.accept_configuration(response.configuration)
        for aged in response.topic_changes:
            self._cache.apply(aged.changes, sent_at - aged.age)
        for assignment in response.assignments:
            self._cache.accept_assignment(assignment)
        self._record_response(name, response, topics, sent_at)
        return response

    def _record_response(
        self, name: str, response: PullResponse, topics: tuple[Topic, ...], sent_at: float
    ) -> None:
        ages = {aged.changes.topic: aged.age for aged in response.topic_changes}
        ages |= {newer.topic: newer.age for newer in response.newer}
        for topic, age in ages.items():
            if topic is OUTAGE_PROBE_TOPIC or len(topics) == 1:
                self._update_freshest_source(name, sent_at - age)
        # Another host may answer at the address of one that was removed.
        if response.verified and response.host == name:
            self._reports.add_host(name, sent_at)
        if response.zone_report:
            self._reports.add_zone(response.zone_report, sent_at)
            self._answered_reporters[response.zone_report.zone] = name
        self._unreachable_until[name] = (
            sent_at + STORE_UNREACHABLE_TTL_S if response.store_unreachable else 0.0
        )

    def _reader(self, zone: str) -> str:
        """Return a zone's store reader.

        It is the zone's first host not known to find the store unreachable, else its first host;
        empty if the zone has no live host. A host that hears from the whole zone knows best.
        """
        at = now()
        reported = "" if self._collects() else self._reports.reader(zone)
        if reported and self._unreachable_until.get(reported, 0.0) <= at:
            return reported
        zone_hosts = [h.name for h in self._hosts.in_zone(zone)]
        candidates = [n for n in zone_hosts if self._unreachable_until.get(n, 0.0) <= at]
        return next(iter(candidates or zone_hosts), "")

    def _wide_sources(self, reporters: list[str]) -> list[str]:
        """Return the hosts to ask when the cache gets old: few of each zone."""
        names = [self._reader(self._hosts.own.zone)]
        names += [self._reader(zone) for zone in self._hosts.zones()]
        names += reporters
        names += [self._freshest_source[0]] if self._hosts.get(self._freshest_source[0]) else []
        rest = [h.name for h in self._hosts.live() if h.name not in names]
        names += self._rng.sample(rest, min(RANDOM_PULL_HOSTS, len(rest)))
        return [n for n in dict.fromkeys(names) if n not in ("", self._hosts.own.name)]

    def _reporters(self, zone: str) -> list[str]:
        """Return the hosts to ask which of their zone's hosts they hear from.

        It is the zone's first host, and others too after one has not answered. One that has
        reported is asked again: a round that reaches no host of a zone leaves its reports too old.
        """
        names = [h.name for h in self._hosts.in_zone(zone)]
        if self._reporter_failed_at.get(zone, NEVER) < now() - COLLECT_S:
            return names[:1]
        answered = self._answered_reporters.get(zone)
        known = [answered] if answered in names[1:] else []
        others = [n for n in names[1:] if n not in known]
        count = min(FALLBACK_REPORTERS - len(known), len(others))
        return names[:1] + known + self._rng.sample(others, count)

    def _collects(self) -> bool:
        """Tell whether this host hears from its zone's hosts, to report on them to others."""
        if now() <= self._collect_until:
            return True
        zone_hosts = self._hosts.in_zone(self._hosts.own.zone)
        is_first = bool(zone_hosts) and zone_hosts[0].name == self._hosts.own.name
        return is_first and self._needs_wide_pull()

    def _zone_hosts_to_hear(self, names: list[str]) -> list[str]:
        """Return the hosts of this zone to hear from, if this host counts them for others."""
        own = self._hosts.own
        if not self._collects():
            return []
        zone_hosts = (h.name for h in self._hosts.in_zone(own.zone))
        return [n for n in zone_hosts if n not in (own.name, *names)]

    def _update_freshest_source(self, name: str, confirmed_at: float) -> None:
        """Remember the host whose cache was confirmed most recently."""
        if confirmed_at > self._freshest_source[1]:
            self._freshest_source = (name, confirmed_at)

    async def _handle_pull_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PullRequest)
        if message.collect:
            self._collect_until = now() + COLLECT_S
        topic_changes, newer = [], []
        for known in message.known:
            topic, revision = known.topic, self._cache.revision(known.topic)
            if not revision or revision < known.revision:
                continue
            age = self._cache.topic_age(topic)
            if message.names_only and revision > known.revision:
                newer.append(AgedRevision(topic=topic, revision=revision, age=age))
            else:
                changes = self._cache.changes_since(topic, known.revision)
                topic_changes.append(AgedChanges(changes=changes, age=age))
        same = message.assignments_digest == self._cache.assignments_digest
        counts = self._cache.may_report()
        return PullResponse(
            topic_changes=tuple(topic_changes),
            assignments=() if same else self._cache.assignments(),
            verified=counts,
            store_unreachable=self._cache.store_unreachable,
            newer=tuple(newer),
            zone_report=self._zone_report(counts) if self._collects() else None,
            configuration_version=self._configuration_version(),
            configuration=self._later_configuration(message, topic_changes),
            host=self._hosts.own.name,
        )

    def _configuration_version(self) -> int:
        configuration = self._cache.configuration()
        return configuration.version if configuration else 0

    def _later_configuration(
        self, message: PullRequest, topic_changes: list[AgedChanges]
    ) -> Configuration | None:
        """Return the configuration in force if the sender lacks it and the changes don't bring it.

        They don't if the store came back from a copy that has an older one.
        """
        configuration = self._cache.configuration()
        if configuration is None or message.names_only:
            return None
        sent = any(e.value == configuration for aged in topic_changes for e in aged.changes.entries)
        return (
            None
            if sent or configuration.version <= message.configuration_version
            else configuration
        )

    def _zone_report(self, own_counts: bool) -> ZoneReport:
        reader = self._reader(self._hosts.own.zone)
        if self._unreachable_until.get(reader, 0.0) > now():
            reader = ""
        revision = self._cache.revision(Topic.FLEET)
        return self._reports.zone_report(reader=reader, own_counts=own_counts, revision=revision)


def _newest_sources(
    responses: list[tuple[str, PullResponse | None]], configuration_version: int
) -> dict[str, tuple[Topic, ...]]:
    """Return the hosts that have the newest revision of a topic, with the topics to pull there.

    The settings are pulled from a host whose configuration is later than the given version.
    """
    best: dict[Topic, tuple[int, str]] = {}
    for name, response in responses:
        for newer in response.newer if response else ():
            best[newer.topic] = max(best.get(newer.topic, (0, "")), (newer.revision, name))
    latest = max(((r.configuration_version, name) for name, r in responses if r), default=(0, ""))
    if latest[0] > configuration_version:
        best[Topic.SETTINGS] = latest
    sources: dict[str, tuple[Topic, ...]] = {}
    for topic, (_, name) in best.items():
        sources[name] = (*sources.get(name, ()), topic)
    return sources
