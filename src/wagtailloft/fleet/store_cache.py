"""Cache the store's topics: one host in each zone reads the store, the others pull from it."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec
import xxhash

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
    PrimaryAnnouncement,
    PullRequest,
    PullResponse,
    ZoneReport,
)
from wagtailloft.fleet.ports import Conflict, Store, StoreDown
from wagtailloft.fleet.records import (
    Entry,
    HostRecord,
    PrimaryAssignment,
    Topic,
    Value,
    host_record_name,
)
from wagtailloft.fleet.topic_cache import NEVER, TopicCache

# Each call to the store has a price; longer polls need fewer calls.
LONG_POLL_S = {Topic.SETTINGS: 1.0, Topic.FLEET: 1.0, Topic.TARGETS: 2.0}
PULL_INTERVAL_S = 0.4  # allows several pulls in the 3 s within which a new configuration applies
PULL_TIMEOUT_S = 0.6  # covers a connect and a round trip across zones
WIDE_PULL_INTERVAL_S = 0.25  # allows two pulls between WIDER_PULL_AGE_S and assignment_max_age
DELAY_PER_PULL_S = 0.004  # added for each host asked, whose answer takes up to 1 ms of CPU time
# For the store to answer a new host; a seed's answer names every host of the fleet.
SEED_WAIT_S = 0.5
# How long a host hears from its zone's hosts after another host asked it to; several pulls.
COLLECT_S = 2.0
# OLD_CACHE_AGE_S less a pull interval; above it, other zones' readers are pulled from too.
WIDER_PULL_AGE_S = 1.5
# A long poll, a pull interval and a slow answer. Above it, the cache counts as old: this host reads
# the store itself, and retries an unreachable store sooner.
OLD_CACHE_AGE_S = 1.9
FALLBACK_REPORTERS = 3  # with half of a zone cut off, 15 of 16 rounds reach one of four hosts
RANDOM_PULL_HOSTS = 1  # can find a host that reads the store when no zone's first host can
# How long a host that reported the store as unreachable is not chosen as a reader.
STORE_UNREACHABLE_TTL_S = 3.0
# Between attempts to reach an unreachable store, at a host whose cache others keep fresh.
STORE_PROBE_INTERVAL_S = 2.0
# Refused calls have a price too; several attempts within the bound on withdrawn keys.
STORE_RETRY_S = 0.4
# Hosts that try an unreachable store within STORE_RETRY_S, besides the first host of each zone.
MAX_STORE_PROBERS = 8
# In a store outage, an assignment is not used beyond this cache age, even with a majority. A
# coordinator that reaches no majority of hosts waits this long plus assignment_max_age and a
# margin.
OUTAGE_ASSIGNMENT_MAX_AGE_S = 10.0
# The only topic read while the store is unreachable, since refused calls have a price.
OUTAGE_PROBE_TOPIC = Topic.SETTINGS
FRESHNESS_TOPICS = (Topic.SETTINGS, Topic.FLEET)  # they hold the keys and the primary assignments


class StoreCache:
    """Keep this host's caches of the store current, and tell how far they can be trusted.

    Ages are in seconds. max_age limits the use of keys, assignment_max_age that of assignments.
    """

    def __init__(
        self, *, store: Store, hosts: Hosts, mesh: Mesh, max_age: float, assignment_max_age: float
    ) -> None:
        self.max_age = max_age
        self.assignment_max_age = assignment_max_age
        self._store = store
        self._hosts = hosts
        self._topics = {topic: TopicCache(topic=topic) for topic in Topic}
        self._assignments: dict[str, PrimaryAssignment] = {}
        self._assignments_digest = _digest({})
        self._listeners: dict[Topic, list[Callable[[Entry], None]]] = {t: [] for t in Topic}
        self._rng = random.Random()
        self._reports = HostReports(hosts=hosts)
        self._collect_until = 0.0
        self._reporter_failed_at: dict[str, float] = {}
        self._started = now()
        self._store_unreachable = False
        self._freshest_source = ("", NEVER)
        self._store_unreachable_until: dict[str, float] = {}
        mesh.register_handler(PullRequest, self._handle_pull_request)
        mesh.register_handler(PrimaryAnnouncement, self._handle_primary_announcement)

    def on_change(self, topic: Topic, action: Callable[[Entry], None]) -> None:
        """Register a callback for each changed entry of a topic."""
        self._listeners[topic].append(action)

    def get(self, topic: Topic, name: str) -> Entry | None:
        """Return the cached entry of an object, None if it does not exist."""
        return self._topics[topic].get(name)

    def revision(self, topic: Topic) -> int:
        """Return the revision up to which a topic is cached."""
        return self._topics[topic].revision

    def age(self) -> float:
        """Return the seconds since keys and assignments were last known to be current."""
        at = now()
        return max(self._topics[topic].age(at) for topic in FRESHNESS_TOPICS)

    def is_fresh(self) -> bool:
        """Tell whether keys and assignments are recent enough to be used."""
        return self.age() <= self.max_age

    def assignments_valid(self) -> bool:
        """Tell whether no assignment can have changed without this host knowing.

        That holds while the cache is recent enough. In an outage of the store it also holds while
        a majority of the hosts has just reported its assignments: a failover coordinator informs a
        majority and then waits until earlier reports have expired.
        """
        age = self.age()
        if age <= self.assignment_max_age:
            return True
        if age > OUTAGE_ASSIGNMENT_MAX_AGE_S:
            return False
        return self.heard_from_majority()

    def heard_from_majority(self) -> bool:
        """Tell whether a majority of hosts, this one included, has reported its assignments.

        Reports older than assignment_max_age don't count.
        """
        return self._reports.from_majority(self.assignment_max_age)

    def is_registered(self) -> bool:
        """Tell whether this host's registration is cached, so that coordinators count it."""
        return self.get(Topic.FLEET, host_record_name(self._hosts.own.name)) is not None

    def assignment(self, group: str) -> PrimaryAssignment | None:
        """Return the latest known primary assignment of a group."""
        return self._assignments.get(group)

    def accept_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Store an assignment if it is later than the known one; return whether it was."""
        known = self._assignments.get(assignment.group)
        if known and known.sort_key >= assignment.sort_key:
            return False
        self._assignments[assignment.group] = assignment
        self._assignments_digest = _digest(self._assignments)
        logs.event(
            "assignment_changed",
            group=assignment.group,
            epoch=assignment.epoch,
            settled=assignment.settled,
            primary=assignment.primary,
            term=assignment.term,
            replaced=assignment.replaced,
        )
        self._notify(Topic.FLEET, Entry(name=assignment.group, revision=0, value=assignment))
        return True

    def accept(self, topic: Topic, entry: Entry) -> None:
        """Cache a single object that the store returned for a write."""
        if self._topics[topic].put_entry(entry):
            self._entry_changed(topic, entry)

    async def write(self, topic: Topic, name: str, value: Value) -> Entry | None:
        """Write an object if the store has it at the cached revision, and cache the result.

        Return None if the store has another revision, which is cached instead. Raise StoreDown.
        """
        known = self.get(topic, name)
        try:
            written = await self._store.put(topic, name, value, known.revision if known else 0)
        except Conflict as exc:
            if exc.entry is not None:
                self.accept(topic, exc.entry)
            logs.event("write_conflict", topic=topic.value, name=name, why=str(exc))
            return None
        self.accept(topic, written)
        return written

    async def read_now(self, topic: Topic) -> None:
        """Read the changes of a topic from the store without waiting; raise StoreDown."""
        await self._read_store(topic, 0.0)

    async def watch_store(self, topic: Topic) -> None:
        """Read a topic from the store while this host is its zone's reader or its cache is old.

        While the store is unreachable, only OUTAGE_PROBE_TOPIC is read.
        """
        while True:
            unreachable, is_old = self._store_unreachable, self.age() > OLD_CACHE_AGE_S
            should_read = (
                topic is OUTAGE_PROBE_TOPIC if unreachable else is_old or self._is_reader()
            )
            if not should_read:
                await asyncio.sleep(PULL_INTERVAL_S / 2)
                continue
            try:
                await self._read_store(topic, 0.0 if unreachable or is_old else LONG_POLL_S[topic])
                self._mark_store_recovered(topic)
            except StoreDown as exc:
                self._mark_store_unreachable(topic, exc)
                await asyncio.sleep(self._store_retry_delay() * self._rng.uniform(0.8, 1.4))

    async def join_through_seeds(self, ips: tuple[str, ...]) -> None:
        """Learn the fleet's hosts from the first seed that answers, unless the store lists them."""
        await asyncio.sleep(SEED_WAIT_S)
        for ip in ips:
            if self._topics[Topic.FLEET].revision or len(self._hosts.all()) > 1:
                return
            if ip != self._hosts.own.ip:
                await self._hosts.join_through_seed(ip)

    async def pull_from_peers(self) -> None:
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
                    await self._try_pull(source, tuple(Topic))
            await asyncio.sleep(DELAY_PER_PULL_S * pull_count)

    def _needs_wide_pull(self) -> bool:
        return self._store_unreachable or self.age() > WIDER_PULL_AGE_S

    async def _pull_widely(self) -> int:
        """Ask several hosts what they have, then pull it once; return the number of hosts asked.

        The same configuration from every host asked would fill small network links.
        """
        reporters = [n for zone in self._hosts.zones() for n in self._reporters(zone)]
        sources = self._wide_sources(reporters)
        asked = [
            self._try_pull(n, tuple(Topic), names_only=True, collect=n in reporters)
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
        newest = _newest_sources(list(answered.items()))
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
        known = tuple(KnownRevision(topic=t, revision=self._topics[t].revision) for t in topics)
        message = PullRequest(
            host=self._hosts.own.name,
            known_revisions=known,
            assignments_digest=self._assignments_digest,
            names_only=names_only,
            collect=collect,
        )
        response = await self._hosts.call(name, message, PULL_TIMEOUT_S)
        if not isinstance(response, PullResponse):
            return None
        for aged in response.topic_changes:
            self._apply(aged.changes, sent_at - aged.age)
        for assignment in response.assignments:
            self.accept_assignment(assignment)
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
        if response.verified:
            self._reports.add_host(name, sent_at)
        if response.zone_report:
            self._reports.add_zone(response.zone_report, sent_at)
        self._store_unreachable_until[name] = (
            sent_at + STORE_UNREACHABLE_TTL_S if response.store_unreachable else 0.0
        )

    def _is_verified(self) -> bool:
        """Tell whether the cache was current at some time since this process started."""
        return all(self._topics[topic].confirmed_at >= self._started for topic in FRESHNESS_TOPICS)

    def _is_reader(self) -> bool:
        """Tell whether this host reads the store for its zone."""
        return self._reader(self._hosts.own.zone) in ("", self._hosts.own.name)

    def _reader(self, zone: str) -> str:
        """Return a zone's store reader.

        It is the zone's first host not known to find the store unreachable, else its first host;
        empty if the zone has no live host. A host that hears from the whole zone knows best.
        """
        at = now()
        reported = "" if self._collects() else self._reports.reader(zone)
        if reported and self._store_unreachable_until.get(reported, 0.0) <= at:
            return reported
        zone_hosts = [h.name for h in self._hosts.in_zone(zone)]
        candidates = [n for n in zone_hosts if self._store_unreachable_until.get(n, 0.0) <= at]
        return next(iter(candidates or zone_hosts), "")

    def _store_retry_delay(self) -> float:
        """Return the seconds until this host tries an unreachable store again."""
        if self.age() <= OLD_CACHE_AGE_S:
            return STORE_PROBE_INTERVAL_S
        zone_hosts = self._hosts.in_zone(self._hosts.own.zone)
        if not zone_hosts or zone_hosts[0].name == self._hosts.own.name:
            return STORE_RETRY_S
        return STORE_RETRY_S * max(1.0, len(self._hosts.all()) / MAX_STORE_PROBERS)

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

        It is the zone's first host, and others too after one has not answered.
        """
        names = [h.name for h in self._hosts.in_zone(zone)]
        others = names[1:]
        if self._reporter_failed_at.get(zone, NEVER) < now() - COLLECT_S:
            return names[:1]
        return names[:1] + self._rng.sample(others, min(FALLBACK_REPORTERS, len(others)))

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

    async def _read_store(self, topic: Topic, wait: float) -> None:
        started_at = now()
        cache = self._topics[topic]
        changes = await self._store.changes(topic, cache.revision, wait if cache.revision else 0.0)
        # A long poll without changes is answered when its wait ends, so the cache is current then.
        unchanged = not changes.is_snapshot and not changes.entries
        confirmed_at = started_at + (wait if unchanged else 0.0)
        self._apply(changes, min(confirmed_at, now()))

    def _apply(self, changes, confirmed_at: float) -> None:
        for entry in self._topics[changes.topic].apply(changes, confirmed_at):
            self._entry_changed(changes.topic, entry)

    def _entry_changed(self, topic: Topic, entry: Entry) -> None:
        value = entry.value
        if isinstance(value, PrimaryAssignment):
            self.accept_assignment(value)
            return
        if isinstance(value, HostRecord):
            self._hosts.add(value.host)
        logs.event(
            "cache_updated",
            topic=topic.value,
            name=entry.name,
            revision=entry.revision,
            removed=value is None,
        )
        self._notify(topic, entry)

    def _notify(self, topic: Topic, entry: Entry) -> None:
        for action in self._listeners[topic]:
            action(entry)

    def _mark_store_unreachable(self, topic: Topic, exc: StoreDown) -> None:
        self._store_unreachable_until[self._hosts.own.name] = math.inf
        if not self._store_unreachable:
            self._store_unreachable = True
            logs.warn("store_lost", topic=topic.value, why=str(exc), age=self.age())

    def _mark_store_recovered(self, topic: Topic) -> None:
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_unreachable_until[self._hosts.own.name] = 0.0
            logs.event("store_recovered", topic=topic.value, at=self.revision(topic))

    async def _handle_pull_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PullRequest)
        at = now()
        if message.collect:
            self._collect_until = at + COLLECT_S
        topic_changes, newer = [], []
        for known in message.known_revisions:
            cache = self._topics[known.topic]
            if not cache.revision or cache.revision < known.revision:
                continue
            age = cache.age(at)
            if message.names_only and cache.revision > known.revision:
                newer.append(AgedRevision(topic=known.topic, revision=cache.revision, age=age))
            else:
                topic_changes.append(AgedChanges(changes=cache.since(known.revision), age=age))
        same = message.assignments_digest == self._assignments_digest
        verified = self._is_verified()
        return PullResponse(
            topic_changes=tuple(topic_changes),
            assignments=() if same else tuple(self._assignments.values()),
            verified=verified,
            store_unreachable=self._store_unreachable,
            newer=tuple(newer),
            zone_report=self._zone_report(verified) if self._collects() else None,
        )

    def _zone_report(self, own_is_current: bool) -> ZoneReport:
        reader = self._reader(self._hosts.own.zone)
        if self._store_unreachable_until.get(reader, 0.0) > now():
            reader = ""
        return self._reports.zone_report(reader=reader, own_is_current=own_is_current)

    async def _handle_primary_announcement(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PrimaryAnnouncement)
        self.accept_assignment(message.assignment)
        return PullResponse(topic_changes=())


def _digest(assignments: dict[str, PrimaryAssignment]) -> int:
    """Return a digest by which two hosts find out whether they know the same assignments."""
    states = sorted((a.group, a.epoch, a.settled) for a in assignments.values())
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(states))


def _newest_sources(
    responses: list[tuple[str, PullResponse | None]],
) -> dict[str, tuple[Topic, ...]]:
    """Return the hosts that have the newest revision of a topic, with the topics to pull there."""
    best: dict[Topic, tuple[int, str]] = {}
    for name, response in responses:
        for newer in response.newer if response else ():
            best[newer.topic] = max(best.get(newer.topic, (0, "")), (newer.revision, name))
    sources: dict[str, tuple[Topic, ...]] = {}
    for topic, (_, name) in best.items():
        sources[name] = (*sources.get(name, ()), topic)
    return sources
