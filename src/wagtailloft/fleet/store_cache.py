"""Spread the store's content: one host a zone reads the store, the others pull from it."""

import asyncio
import math
import random
from collections.abc import Callable

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import (
    AgedChanges,
    KnownRevision,
    Message,
    PrimaryAnnouncement,
    PullRequest,
    PullResponse,
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

WAITS_S = {Topic.SETTINGS: 1.0, Topic.FLEET: 1.0, Topic.TARGETS: 2.0}  # against calls' price
PULL_S = 0.4  # several pulls within the bound on new configurations, 3 s
PULL_LIMIT_S = 0.6  # a connect and a round trip across zones
PULL_EACH_S = 0.01  # added for each host that is pulled from: 5 ms of processor a second
PULL_MOST = 150  # more could not be heard within the limit for leads
UNUSUAL_S = 1.5  # DOUBT_S less a pull interval; then the readers of other zones are asked too
DOUBT_S = 1.9  # the same with a slow answer; then every host is asked for its leads
RANDOM_SOURCES = 1  # finds a host that reads the store when no zone's first one can
AWAY_S = 3.0  # how long a host that said so is not taken for a reader; asked again after it
PROBE_S = 2.0  # between tries of an absent store by a host that others keep current
RETRY_S = 0.4  # refused calls are priced; several tries within the bound on withdrawn keys
PROBERS = 8  # hosts that try an absent store within RETRY_S, beside the zones' first ones
OUTAGE_ASSIGNMENT_MAX_AGE_S = 10.0  # a promoter that finds no majority of hosts waits so long
PROBED = Topic.SETTINGS  # read alone while the store is away, since refused calls are priced
CHECKED = (Topic.SETTINGS, Topic.FLEET)


class StoreCache:
    """Keep this host's copies current, and tell how far they can be trusted."""

    def __init__(
        self, *, store: Store, hosts: Hosts, mesh: Mesh, max_age: float, assignment_max_age: float
    ) -> None:
        self.max_age = max_age
        self.assignment_max_age = assignment_max_age
        self._store = store
        self._hosts = hosts
        self._topics = {topic: TopicCache(topic=topic) for topic in Topic}
        self._assignments: dict[str, PrimaryAssignment] = {}
        self._watchers: dict[Topic, list[Callable[[Entry], None]]] = {t: [] for t in Topic}
        self._rng = random.Random()
        self._heard: dict[str, float] = {}
        self._started = now()
        self._away = False
        self._freshest = ("", NEVER)
        self._away_until: dict[str, float] = {}
        mesh.register_handler(PullRequest, self._pulled)
        mesh.register_handler(PrimaryAnnouncement, self._settled)

    def on_change(self, topic: Topic, action: Callable[[Entry], None]) -> None:
        """Call an action for each entry that changes."""
        self._watchers[topic].append(action)

    def get(self, topic: Topic, name: str) -> Entry | None:
        """Return this host's copy of an object."""
        return self._topics[topic].get(name)

    def revision(self, topic: Topic) -> int:
        """Return up to which revision a topic is known."""
        return self._topics[topic].revision

    def age(self) -> float:
        """Return the seconds since what decides over keys and leads was surely current."""
        at = now()
        return max(self._topics[topic].age(at) for topic in CHECKED)

    def is_fresh(self) -> bool:
        """Tell whether keys and leads may be relied on."""
        return self.age() <= self.max_age

    def assignments_valid(self) -> bool:
        """Tell whether no lead can have changed without this host.

        Either the copy is fresh, or the store is away and a majority of the hosts has just told
        its leads: a promoter tells a majority, and then waits until older answers are void.
        """
        age = self.age()
        if age <= self.assignment_max_age:
            return True
        if age > OUTAGE_ASSIGNMENT_MAX_AGE_S:
            return False
        return self.heard_from_majority()

    def heard_from_majority(self) -> bool:
        """Tell whether most hosts, this one included, have just told what they know."""
        since = now() - self.assignment_max_age
        hosts = self._hosts.all()
        heard = [h for h in hosts if self._heard.get(h.name, 0.0) >= since]
        return 2 * (len(heard) + 1) > len(hosts)

    def is_registered(self) -> bool:
        """Tell whether this host's copy lists it, so that a promoter counts it."""
        return self.get(Topic.FLEET, host_record_name(self._hosts.own.name)) is not None

    def assignment(self, group: str) -> PrimaryAssignment | None:
        """Return the latest known lead of a group."""
        return self._assignments.get(group)

    def accept_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Take a lead if it is later than the known one; return whether it was."""
        known = self._assignments.get(assignment.group)
        if known and known.sort_key >= assignment.sort_key:
            return False
        self._assignments[assignment.group] = assignment
        logs.event(
            "assignment_changed",
            group=assignment.group,
            epoch=assignment.epoch,
            settled=assignment.settled,
            primary=assignment.primary,
            term=assignment.term,
            replaced=assignment.replaced,
        )
        self._tell(Topic.FLEET, Entry(name=assignment.group, revision=0, value=assignment))
        return True

    def accept(self, topic: Topic, entry: Entry) -> None:
        """Take an object that this host has just written."""
        if self._topics[topic].put_entry(entry):
            self._changed(topic, entry)

    async def write(self, topic: Topic, name: str, value: Value) -> Entry | None:
        """Write an object over the revision known here, and take what stands afterwards.

        Return None if another revision stands; raise StoreDown.
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
        """Read what changed straight from the store; raise StoreDown."""
        await self._read(topic, 0.0)

    async def watch_store(self, topic: Topic) -> None:
        """Read a topic for as long as it is this host's part, or nobody else serves it."""
        while True:
            away, doubt = self._away, self.age() > DOUBT_S
            due = topic is PROBED if away else doubt or self._is_reader()
            if not due:
                await asyncio.sleep(PULL_S / 2)
                continue
            try:
                await self._read(topic, 0.0 if away or doubt else WAITS_S[topic])
                self._note_back(topic)
            except StoreDown as exc:
                self._note_lost(topic, exc)
                await asyncio.sleep(self._retry_pause() * self._rng.uniform(0.8, 1.4))

    async def pull_from_peers(self) -> None:
        """Pull from the zone's reader, and from others when that is not enough."""
        while True:
            await asyncio.sleep(PULL_S * self._rng.uniform(0.9, 1.1))
            whole = self._sources()
            assignment_sources = self._others(whole) if self.age() > DOUBT_S else []
            pulls = [self._try_pull(n, tuple(Topic)) for n in whole]
            pulls += [self._try_pull(n, (Topic.FLEET,)) for n in assignment_sources]
            await asyncio.gather(*pulls)
            await asyncio.sleep(PULL_EACH_S * len(pulls))

    async def _try_pull(self, name: str, topics: tuple[Topic, ...]) -> None:
        try:
            await self.pull(name, topics)
        except (NotSent, NoResponse) as exc:
            logs.event("pull_failed", host=name, why=str(exc))

    async def pull(self, name: str, topics: tuple[Topic, ...]) -> None:
        """Take what another host knows of topics; ages count from when it was asked."""
        asked = now()
        known = tuple(KnownRevision(topic=t, revision=self._topics[t].revision) for t in topics)
        message = PullRequest(host=self._hosts.own.name, known_revisions=known)
        response = await self._hosts.call(name, message, PULL_LIMIT_S)
        if not isinstance(response, PullResponse):
            return
        for part in response.topic_changes:
            self._apply(part.changes, asked - part.age)
            if part.changes.topic is PROBED or len(topics) == 1:
                self._note_source(name, asked - part.age)
        for assignment in response.assignments:
            self.accept_assignment(assignment)
        if response.verified:
            self._heard[name] = asked
        self._away_until[name] = asked + AWAY_S if response.store_unreachable else 0.0

    def _is_verified(self) -> bool:
        """Tell whether the copy was current at some time in this process's life."""
        return all(self._topics[topic].confirmed_at >= self._started for topic in CHECKED)

    def _is_reader(self) -> bool:
        """Tell whether this host reads the store for its zone."""
        return self._reader(self._hosts.own.zone) in ("", self._hosts.own.name)

    def _reader(self, zone: str) -> str:
        """Return the first host of a zone that is not known to miss the store."""
        at = now()
        near = [h.name for h in self._hosts.in_zone(zone)]
        reaching = [n for n in near if self._away_until.get(n, 0.0) <= at]
        return next(iter(reaching or near), "")

    def _retry_pause(self) -> float:
        """Return the seconds until this host tries an absent store again."""
        if self.age() <= DOUBT_S:
            return PROBE_S
        near = self._hosts.in_zone(self._hosts.own.zone)
        if not near or near[0].name == self._hosts.own.name:
            return RETRY_S
        return RETRY_S * max(1.0, len(self._hosts.all()) / PROBERS)

    def _sources(self) -> list[str]:
        """Return the hosts to pull everything from: few, since links are narrow."""
        names = [self._reader(self._hosts.own.zone)]
        if self._away or self.age() > UNUSUAL_S:
            names += [self._reader(zone) for zone in self._hosts.zones()]
            names += [self._freshest[0]] if self._hosts.get(self._freshest[0]) else []
            rest = self._others(names)
            names += self._rng.sample(rest, min(RANDOM_SOURCES, len(rest)))
        return [n for n in dict.fromkeys(names) if n not in ("", self._hosts.own.name)]

    def _others(self, names: list[str]) -> list[str]:
        own = self._hosts.own.name
        others = [h.name for h in self._hosts.live() if h.name not in (own, *names)]
        return others[:PULL_MOST]

    def _note_source(self, name: str, confirmed: float) -> None:
        """Remember the host whose copy was current most lately."""
        if confirmed > self._freshest[1]:
            self._freshest = (name, confirmed)

    async def _read(self, topic: Topic, wait: float) -> None:
        started = now()
        cache = self._topics[topic]
        changes = await self._store.changes(topic, cache.revision, wait if cache.revision else 0.0)
        # A wait that ended without a change was answered after it ran out, not when it began.
        quiet = not changes.is_snapshot and not changes.entries
        confirmed = started + (wait if quiet else 0.0)
        self._apply(changes, min(confirmed, now()))

    def _apply(self, changes, confirmed: float) -> None:
        for entry in self._topics[changes.topic].apply(changes, confirmed):
            self._changed(changes.topic, entry)

    def _changed(self, topic: Topic, entry: Entry) -> None:
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
        self._tell(topic, entry)

    def _tell(self, topic: Topic, entry: Entry) -> None:
        for action in self._watchers[topic]:
            action(entry)

    def _note_lost(self, topic: Topic, exc: StoreDown) -> None:
        self._away_until[self._hosts.own.name] = math.inf
        if not self._away:
            self._away = True
            logs.warn("store_lost", topic=topic.value, why=str(exc), age=self.age())

    def _note_back(self, topic: Topic) -> None:
        if self._away:
            self._away = False
            self._away_until[self._hosts.own.name] = 0.0
            logs.event("store_recovered", topic=topic.value, at=self.revision(topic))

    async def _pulled(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PullRequest)
        at = now()
        parts = []
        for known in message.known_revisions:
            cache = self._topics[known.topic]
            if cache.revision and cache.revision >= known.revision:
                parts.append(AgedChanges(changes=cache.since(known.revision), age=cache.age(at)))
        assignments = tuple(self._assignments.values())
        return PullResponse(
            topic_changes=tuple(parts),
            assignments=assignments,
            verified=self._is_verified(),
            store_unreachable=self._away,
        )

    async def _settled(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PrimaryAnnouncement)
        self.accept_assignment(message.assignment)
        return PullResponse(topic_changes=())
