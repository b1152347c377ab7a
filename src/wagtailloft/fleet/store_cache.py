"""Cache the store's topics: one host in each zone reads the store, the others pull from it.

The caches mirror the store, whatever era it is in. How long they have mirrored it is their age; how
long it has been since they were known to hold everything ever stored is the age of what they hold.
The two differ after the store came back from an older copy, until what it lost is written again.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.fleet.host_reports import HostReports
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import Message, PrimaryAnnouncement, PullResponse
from wagtailloft.fleet.peer_pulls import OUTAGE_PROBE_TOPIC, PULL_INTERVAL_S, PeerPulls
from wagtailloft.fleet.ports import Conflict, Store, StoreDown
from wagtailloft.fleet.records import (
    PROMOTION_LEASE_OBJECT,
    UNKNOWN_HOLDER,
    Changes,
    Configuration,
    Entry,
    EraRecord,
    HostRecord,
    PrimaryAssignment,
    PromotionLeaseRecord,
    Topic,
    Value,
    host_record_name,
)
from wagtailloft.fleet.records_in_force import RecordsInForce
from wagtailloft.fleet.store_era import StoreEra
from wagtailloft.fleet.topic_cache import NEVER, TopicCache
from wagtailloft.revisions import era_of, make_revision

# Each call to the store has a price; longer polls need fewer calls.
LONG_POLL_S = {
    Topic.SETTINGS: 1.0,
    Topic.FLEET: 0.5,
    Topic.TARGETS: 2.0,
    Topic.EVACUATIONS: 1.0,
}
# A poll may be answered early, or miss changes, and its answer be late. Without changes it only
# proves that there were none when the poll was sent, and so counts as of then for assignments,
# which are used almost until a fence gives a host up. Keys are used so much shorter than their
# bound that a poll's wait is covered, and nothing depends on the age of the members' reports.
COUNTED_FROM_SENDING = (Topic.FLEET,)
# For the store to answer a new host; a seed's answer names every host of the fleet.
SEED_WAIT_S = 0.5
# A long poll (two if they count from their sending), a pull interval and a slow answer. Above it,
# the cache counts as old: this host reads the store itself, and retries an unreachable one sooner.
OLD_CACHE_AGE_S = 1.9
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
EXPIRY_MARGIN_S = 0.3  # of an assignment; covers late timers and bytes in transit
FRESHNESS_TOPICS = (Topic.SETTINGS, Topic.FLEET)  # they hold the keys and the primary assignments
# Read on every deployment. Topic.EVACUATIONS is read only where evacuations are bounded in time.
BASE_TOPICS = (Topic.SETTINGS, Topic.TARGETS, Topic.FLEET)
# What exists without a value that can be read still counts.
COUNTED_IF_UNREADABLE = (Topic.TARGETS, Topic.EVACUATIONS)


class StoreCache:
    """Keep this host's caches of the store current, and tell how far they can be trusted.

    Ages are in seconds. max_age limits the use of keys, assignment_max_age that of assignments.
    topics are those that are read; the others stay empty.
    """

    def __init__(
        self,
        *,
        store: Store,
        hosts: Hosts,
        mesh: Mesh,
        max_age: float,
        assignment_max_age: float,
        topics: tuple[Topic, ...] = BASE_TOPICS,
        starts_fleet: bool = False,
        on_new_era: Callable[[], None] = lambda: None,
        on_failure: Callable[[str, Exception], None] = lambda name, exc: None,
    ) -> None:
        self.max_age = max_age
        self.assignment_max_age = assignment_max_age
        self.topics = topics
        self._store = store
        self._hosts = hosts
        self._topics = {topic: TopicCache(topic=topic) for topic in Topic}
        self.era = StoreEra(
            assignment_expiry=assignment_max_age + EXPIRY_MARGIN_S,
            starts_fleet=starts_fleet,
            on_new_era=on_new_era,
        )
        self._in_force = RecordsInForce(
            era=self.era,
            notify=self._notify,
            is_stored=self._is_stored,
        )
        self._current_before_change = dict.fromkeys(Topic, NEVER)
        self._known_complete_at = dict.fromkeys(FRESHNESS_TOPICS, NEVER)
        # When all assignments were last known, and a group's present one was not among them.
        self._known_without: dict[str, float] = {}
        self._on_failure = on_failure
        # Entries that a listener could not handle, by topic, the listener's number and name.
        self._unapplied: dict[tuple[Topic, int, str], Entry] = {}
        self._listeners: dict[Topic, list[Callable[[Entry], None]]] = {t: [] for t in Topic}
        self._rng = random.Random()
        self._reports = HostReports(hosts=hosts, is_registered=self._is_registered)
        self._pulls = PeerPulls(cache=self, hosts=hosts, mesh=mesh, reports=self._reports)
        self._started = now()
        self.store_unreachable = False
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

    def changes_since(self, topic: Topic, revision: int) -> Changes:
        """Return the changes of a topic after a revision."""
        return self._topics[topic].since(revision)

    def topic_age(self, topic: Topic) -> float:
        """Return the seconds since a topic was last known to be current."""
        return self._topics[topic].age(now())

    def current_before_change(self, topic: Topic) -> float:
        """Return when a topic was last known to be current before its latest changes arrived."""
        return self._current_before_change[topic]

    def age(self) -> float:
        """Return the seconds since the caches of settings and fleet last mirrored the store."""
        at = now()
        return max(self._topics[topic].age(at) for topic in FRESHNESS_TOPICS)

    def settings_age(self) -> float:
        """Return the seconds since no configuration was accepted that this host does not know.

        It is infinite until that was so once since this process started.
        """
        return now() - self._known_complete_at[Topic.SETTINGS]

    def assignments_age(self) -> float:
        """Return the seconds since no assignment was stored that this host does not know."""
        return now() - self._known_complete_at[Topic.FLEET]

    def knows_settings(self) -> bool:
        """Tell whether this process has ever known every configuration accepted by then."""
        return self._known_complete_at[Topic.SETTINGS] > NEVER

    def is_fresh(self) -> bool:
        """Tell whether the keys are recent enough to be used."""
        return self.settings_age() <= self.max_age

    def assignments_valid(self) -> bool:
        """Tell whether no assignment can have changed without this host knowing.

        That holds while the cache is recent enough. In an outage of the store it also holds while
        a majority of the hosts has just reported its assignments: a failover coordinator informs a
        majority and then waits until earlier reports have expired.
        """
        age = self.assignments_age()
        # Without that, the earlier process of this host may have confirmed a fence that ended the
        # wait for whoever this one has its cache from.
        was_current = self._known_complete_at[Topic.FLEET] >= self._started
        if was_current and age <= self.assignment_max_age:
            return True
        if age > OUTAGE_ASSIGNMENT_MAX_AGE_S:
            return False
        return self.heard_from_majority()

    def may_finish_at_replaced(self, group: str) -> bool:
        """Tell whether no fence of a group's present assignment can have given this host up.

        The assignment was stored after this host last knew all others without it, and a fence waits
        for longer than assignment_max_age after that. When the fence's message arrived proves
        nothing, since it may have been delayed.
        """
        known_without = self._known_without.get(group, NEVER)
        is_recent = now() - known_without <= self.assignment_max_age
        return is_recent and known_without >= self._started

    def heard_from_majority(self) -> bool:
        """Tell whether a majority of hosts, this one included, has reported its assignments.

        Reports older than assignment_max_age don't count.
        """
        return self._reports.from_majority(
            self.assignment_max_age,
            own_counts=self.may_report(),
            revision=self.revision(Topic.FLEET),
        )

    def is_registered(self) -> bool:
        """Tell whether coordinators count this host, in every failover that it does not know of.

        A coordinator counts the hosts that are registered once it has stored its claim. All claims
        before this host's registration are known once the cache is as new as that.
        """
        return self._is_registered(self._hosts.own.name)

    def _is_registered(self, host: str) -> bool:
        entry = self.get(Topic.FLEET, host_record_name(host))
        if entry is None or not isinstance(entry.value, HostRecord) or entry.value.withdrawn:
            return False
        return self.revision(Topic.FLEET) >= entry.revision

    @property
    def assignment_use_limit(self) -> float:
        """Return the seconds for which a host may use an assignment that it knows, at most.

        They count from when the assignment changed, or the host's registration was withdrawn.
        """
        return OUTAGE_ASSIGNMENT_MAX_AGE_S + self.assignment_max_age + EXPIRY_MARGIN_S

    def assignments(self) -> tuple[PrimaryAssignment, ...]:
        """Return every known primary assignment."""
        return tuple(self._in_force.assignments.values())

    def assignment(self, group: str) -> PrimaryAssignment | None:
        """Return the latest known primary assignment of a group."""
        return self._in_force.assignments.get(group)

    @property
    def assignments_digest(self) -> int:
        """Return a digest by which two hosts find out whether they know the same assignments."""
        return self._in_force.assignments_digest

    def accept_assignment(self, assignment: PrimaryAssignment) -> bool:
        """Store an assignment if it is later than the known one; return whether it was."""
        return self._in_force.accept_assignment(assignment)

    def configuration(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._in_force.configuration

    def accept_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration from another host in force if it is later; return whether it was."""
        return self._in_force.accept_configuration(configuration)

    def accept(self, topic: Topic, entry: Entry) -> None:
        """Cache a single object that the store returned for a write."""
        entry = _with_possible_holder(topic, entry)
        if self._topics[topic].put_entry(entry):
            self._entry_changed(topic, entry)

    async def write(self, topic: Topic, name: str, value: Value) -> Entry | None:
        """Write an object if the store has it at the cached revision, and cache the result.

        An object that can't be read is replaced like any other. Return None if the store has
        another revision, which is cached instead. Raise StoreDown.
        """
        revision = self._topics[topic].stored_revision(name)
        if revision is None:
            revision = make_revision(era_of(self.revision(topic)), 0)
        try:
            written = await self._store.put(topic, name, value, revision)
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

        While the store is unreachable, only OUTAGE_PROBE_TOPIC is read. A topic that is not among
        this cache's topics is not read at all.
        """
        while True:
            unreachable, is_old = self.store_unreachable, self._is_old(topic)
            should_read = (
                topic is OUTAGE_PROBE_TOPIC if unreachable else is_old or self._pulls.is_reader()
            )
            if not should_read or topic not in self.topics:
                await asyncio.sleep(PULL_INTERVAL_S / 2)
                continue
            try:
                at_once = unreachable or self._would_grow_old(topic)
                is_accepted = await self._read_store(topic, 0.0 if at_once else LONG_POLL_S[topic])
                self._mark_store_recovered(topic)
                if not is_accepted:
                    await asyncio.sleep(STORE_RETRY_S)
            except StoreDown as exc:
                self._mark_store_unreachable(topic, exc)
                await asyncio.sleep(self._store_retry_delay() * self._rng.uniform(0.8, 1.4))

    def _is_old(self, topic: Topic) -> bool:
        """Tell whether this host has to read a topic itself.

        The age of the evacuations counts only for themselves.
        """
        own_age = self.topic_age(topic) if topic is Topic.EVACUATIONS else 0.0
        return max(self.age(), own_age) > OLD_CACHE_AGE_S

    def _would_grow_old(self, topic: Topic) -> bool:
        """Tell whether the topic's cache is old, or could become so before a long poll ends.

        Another topic's age doesn't count: reading this one at once would not lower it.
        """
        poll = LONG_POLL_S[topic] if topic in FRESHNESS_TOPICS else 0.0
        return self.topic_age(topic) + poll > OLD_CACHE_AGE_S

    def may_report(self) -> bool:
        """Tell whether this host's assignments count towards a majority of the hosts.

        Its cache was current since this process started, so that it knows what earlier processes
        confirmed; and it is registered, as far as it can tell for as long as a deleted registration
        may be unknown to it, so that coordinators count it too.
        """
        was_current = all(at >= self._started for at in self._known_complete_at.values())
        is_recent = self.assignments_age() <= OUTAGE_ASSIGNMENT_MAX_AGE_S
        return was_current and is_recent and self.is_registered()

    async def join_through_seeds(self, ips: tuple[str, ...]) -> None:
        """Learn the fleet's hosts from the first seed that answers, unless the store lists them."""
        await asyncio.sleep(SEED_WAIT_S)
        for ip in ips:
            if self._topics[Topic.FLEET].revision or len(self._hosts.all()) > 1:
                return
            if ip != self._hosts.own.ip:
                await self._hosts.join_through_seed(ip)

    async def pull_from_peers(self) -> None:
        """Keep the cache current through other hosts."""
        await self._pulls.run()

    def _store_retry_delay(self) -> float:
        """Return the seconds until this host tries an unreachable store again."""
        if self.age() <= OLD_CACHE_AGE_S:
            return STORE_PROBE_INTERVAL_S
        zone_hosts = self._hosts.in_zone(self._hosts.own.zone)
        if not zone_hosts or zone_hosts[0].name == self._hosts.own.name:
            return STORE_RETRY_S
        return STORE_RETRY_S * max(1.0, len(self._hosts.all()) / MAX_STORE_PROBERS)

    async def _read_store(self, topic: Topic, wait: float) -> bool:
        """Read the changes of a topic; return False if they are older than what is cached."""
        started_at = now()
        cache = self._topics[topic]
        changes = await self._store.changes(topic, cache.revision, wait if cache.revision else 0.0)
        unchanged = not changes.is_snapshot and not changes.entries
        counted_wait = wait if unchanged and topic not in COUNTED_FROM_SENDING else 0.0
        return self.apply(changes, min(started_at + counted_wait, now()))

    def apply(self, changes: Changes, confirmed_at: float) -> bool:
        """Cache changes that were current at a time; return False if they are older than cached."""
        cached = self.revision(changes.topic)
        if changes.revision < cached:
            logs.event(
                "changes_ignored",
                topic=changes.topic.value,
                cached=cached,
                revision=changes.revision,
                snapshot=changes.is_snapshot,
            )
            return False
        self.era.observe(era_of(changes.revision))
        is_new_era = cached > 0 and era_of(changes.revision) != era_of(cached)
        self._current_before_change[changes.topic] = self._topics[changes.topic].confirmed_at
        entries = tuple(_with_possible_holder(changes.topic, e) for e in changes.entries)
        changes = msgspec.structs.replace(changes, entries=entries)
        for entry in self._topics[changes.topic].apply(changes, confirmed_at):
            if not entry.exists and is_new_era:
                self._in_force.accept_missing(changes.topic, entry)
            else:
                self._entry_changed(changes.topic, entry)
        if changes.topic is Topic.FLEET:
            self.era.observe_fleet_read()
        self._update_known_complete()
        return True

    def _update_known_complete(self) -> None:
        is_complete = {
            Topic.SETTINGS: self.era.settings_complete_at,
            Topic.FLEET: self.era.assignments_complete_at,
        }
        self._retry_unapplied()
        for topic, complete_at in is_complete.items():
            if any(failed_topic is topic for failed_topic, _, _ in self._unapplied):
                continue
            cache = self._topics[topic]
            is_current_era = era_of(cache.revision) == self.era.era
            if is_current_era and complete_at(cache.revision, cache.confirmed_at):
                known_at = max(self._known_complete_at[topic], cache.confirmed_at)
                self._known_complete_at[topic] = known_at

    def _entry_changed(self, topic: Topic, entry: Entry) -> None:
        value = entry.value
        if isinstance(value, HostRecord):
            self._hosts.add(value.host)
        if isinstance(value, EraRecord):
            self.era.observe_record(value, entry.revision)
        if not isinstance(value, PrimaryAssignment):
            logs.event(
                "cache_updated",
                topic=topic.value,
                name=entry.name,
                revision=entry.revision,
                removed=not entry.exists,
            )
        if value is None and entry.exists and topic not in COUNTED_IF_UNREADABLE:
            return  # what was known of it stays in force
        self._in_force.accept(topic, entry)

    def _notify(self, topic: Topic, entry: Entry) -> None:
        if isinstance(entry.value, PrimaryAssignment):
            self._known_without[entry.value.group] = self._known_complete_at[Topic.FLEET]
        for number in range(len(self._listeners[topic])):
            self._notify_listener(topic, number, entry)

    def _notify_listener(self, topic: Topic, number: int, entry: Entry) -> None:
        """Pass an entry to a listener; keep it if that fails, so that other entries still count."""
        self._unapplied.pop((topic, number, entry.name), None)
        try:
            self._listeners[topic][number](entry)
        except Exception as exc:
            self._unapplied[(topic, number, entry.name)] = entry
            self._on_failure(f"apply_{topic.value}", exc)

    def _retry_unapplied(self) -> None:
        for (topic, number, _), entry in list(self._unapplied.items()):
            self._notify_listener(topic, number, entry)

    def _is_stored(self, topic: Topic, name: str) -> bool:
        if topic is Topic.EVACUATIONS:
            return self._topics[topic].stored_revision(name) is not None
        return self.get(topic, name) is not None

    def _mark_store_unreachable(self, topic: Topic, exc: StoreDown) -> None:
        if topic is Topic.EVACUATIONS:
            # The use of keys and assignments must not depend on whether this kind can be read.
            logs.warn("evacuations_unread", why=str(exc), age=round(self.topic_age(topic), 3))
            return
        self._pulls.mark_store(unreachable=True)
        if not self.store_unreachable:
            self.store_unreachable = True
            logs.warn("store_lost", topic=topic.value, why=str(exc), age=self.age())

    def _mark_store_recovered(self, topic: Topic) -> None:
        if self.store_unreachable and topic is not Topic.EVACUATIONS:
            self.store_unreachable = False
            self._pulls.mark_store(unreachable=False)
            logs.event("store_recovered", topic=topic.value, at=self.revision(topic))

    async def _handle_primary_announcement(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, PrimaryAnnouncement)
        self.accept_assignment(message.assignment)
        return PullResponse(topic_changes=())


def _with_possible_holder(topic: Topic, entry: Entry) -> Entry:
    """Return an entry, with an unknown holder if it is a promotion lease that can't be read."""
    if topic is not Topic.FLEET or entry.name != PROMOTION_LEASE_OBJECT or entry.is_readable:
        return entry
    return msgspec.structs.replace(entry, value=PromotionLeaseRecord(holder=UNKNOWN_HOLDER))
