"""Exchange digests with peers: host states, and the revision and age of the settings."""

import random
import threading
from concurrent.futures import Executor

from wagtailloft import clock, logs
from wagtailloft.adapters.peers import GossipDigest, Peers
from wagtailloft.controllers.freshness import FreshnessTracker, PeerReport, SettingsState
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.controllers.ownership import platform_watchers
from wagtailloft.controllers.placement import OwnerCache
from wagtailloft.decisions import Decisions
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.models import Change, Host, HostState

GOSSIP_INTERVAL_S = 0.5
# Several times within the time for which settings are used but not reported as fresh any more.
DOUBT_INTERVAL_S = 0.1
FANOUT = 4
MAX_FORGOTTEN_SENT = 100  # changes in a digest; a restore loses those of a few seconds
INDIRECT_PROBES = 2


class Gossip:
    """Exchange membership and settings with the peers."""

    def __init__(
        self,
        *,
        membership: Membership,
        objects: ObjectCache,
        freshness: FreshnessTracker,
        peers: Peers,
        executor: Executor,
        decisions: Decisions,
    ) -> None:
        self._membership = membership
        self._objects = objects
        self._freshness = freshness
        self._peers = peers
        self._executor = executor
        self._decisions = decisions
        self._rng = random.Random()
        self._last_full_exchange = 0.0
        self._asked: set[str] = set()  # doubtful peers whose answer is awaited
        self._platform_watchers: tuple[Host, ...] = ()
        self._platform_watchers_input: tuple[Host, ...] = ()
        self._lock = threading.RLock()
        self._owner_cache = OwnerCache()
        objects.watch("host", self._on_host_change)

    def hosts(self) -> tuple[Host, ...]:
        """Return every known host, dead ones included."""
        with self._lock:
            return self._membership.hosts()

    def owners(self, subject: str, zone: str = "") -> tuple[Host, ...]:
        """Return the few live hosts preferred for a subject, the owner first."""
        with self._lock:
            self._owner_cache.update(self._membership.hosts())
            return self._owner_cache.owners(subject, zone)

    def platform_watchers(self) -> tuple[Host, ...]:
        """Return the hosts that watch the platform for this host's region."""
        with self._lock:
            hosts = self._membership.hosts()
            if hosts is not self._platform_watchers_input:
                self._platform_watchers = platform_watchers(self._membership.own.region, hosts)
                self._platform_watchers_input = hosts
            return self._platform_watchers

    def find(self, name: str) -> Host | None:
        """Return a host by name."""
        with self._lock:
            return self._membership.find(name)

    def own(self) -> Host:
        """Return this host as its peers should see it."""
        with self._lock:
            return self._membership.own

    def registered_hosts(self) -> frozenset[str]:
        """Return the names of the hosts that the cached platform objects list, and of this host."""
        names = {c.name for c in self._objects.all("host")}
        return frozenset(names | {self.own().name})

    def settings_state(self) -> SettingsState:
        """Return whether this host's settings are fresh, usable in an outage, or stale.

        A host that started after the store came back from an older copy has no others to use.
        """
        if not self._objects.was_complete:
            return SettingsState.STALE
        return self._freshness.state(self.registered_hosts(), clock.now())

    def hears_majority(self) -> bool:
        """Tell whether this host hears a majority of the registered hosts, itself included.

        A host is heard if it answered a call sent within the last SETTINGS_MAX_AGE_S, at a revision
        that this host has reached and after the platform confirmed its settings at least once.
        """
        return self._freshness.hears_majority(self.registered_hosts(), clock.now())

    def removable_hosts(self) -> tuple[Host, ...]:
        """Return the hosts that have been dead long enough to be removed from the platform."""
        with self._lock:
            return self._membership.removable_hosts(clock.now())

    def known_by_majority(self, revision: int) -> bool:
        """Tell whether a majority of the registered hosts, this one included, has a revision."""
        return self._freshness.known_by_majority(self.registered_hosts(), revision)

    def majority_fresh_since(self, since: float) -> bool:
        """Tell whether a majority of hosts has had fresh settings without a break since a time.

        This host does not count towards the majority; the time is in monotonic seconds.
        """
        return self._freshness.majority_fresh_since(self.registered_hosts(), since, clock.now())

    def exchange_with_all(self) -> None:
        """Exchange digests with every host that is not dead, at most once per GOSSIP_INTERVAL_S."""
        now = clock.now()
        with self._lock:
            if now - self._last_full_exchange < GOSSIP_INTERVAL_S:
                return
            self._last_full_exchange = now
            own = self._membership.own.name
            others = [h for h in self._membership.hosts() if h.name != own]
        for host in others:
            if host.state is not HostState.DEAD:
                self._executor.submit(self.exchange, host)

    def tick(self) -> None:
        """Exchange digests with a platform watcher and the next few peers; declare hosts dead.

        One dead host is tried too: after a cut, neither side would call the other again.
        """
        with self._lock:
            peers = {h.name: h for h in self._membership.next_probes(FANOUT - 1)}
            peers |= self._pick_platform_watcher()
            dead = self._membership.pick_dead()
            if dead is not None:
                peers[dead.name] = dead
            died = self._membership.expire_suspects(clock.now())
        for host in died:
            logs.warn("host_dead", host=host.name)
            self._decisions.add(host.name, "dead", "no answer to this host or to indirect probes")
        for host in peers.values():
            self._executor.submit(self.exchange, host)

    def ask_doubtful_peers(self) -> None:
        """Exchange digests with the peers that may be in an outage too, not fresh as they reported.

        Else this host would refuse requests once its own settings are not fresh any more.
        """
        for name in self._freshness.doubtful_peers(clock.now()):
            host = self.find(name)
            if host is None or host.state is HostState.DEAD or name in self._asked:
                continue
            self._asked.add(name)
            self._executor.submit(self._ask_doubtful, host)

    def push(self) -> None:
        """Exchange digests with a few peers at once, after this host's settings changed."""
        with self._lock:
            peers = self._membership.next_probes(FANOUT)
        for host in peers:
            self._executor.submit(self.exchange, host)

    def leave(self) -> None:
        """Announce to all peers in state ALIVE that this host is stopping."""
        with self._lock:
            self._membership.leave(clock.now())
            alive = [h for h in self._membership.hosts() if h.state is HostState.ALIVE]
        for host in alive:
            self._executor.submit(self.exchange, host)

    def digest(self, receiver: str = "") -> GossipDigest:
        """Return this host's digest.

        It says what this host believes of the receiver, which can refute that.
        """
        now = clock.now()
        with self._lock:
            updates = self._membership.next_updates()
            known = self._membership.find(receiver)
        if known is not None:
            updates = (*updates, known)
        return GossipDigest(
            sender=self.own().name,
            revision=self._objects.revision,
            platform_age=self._freshness.age(now),
            fresh=self._freshness.is_reported_fresh(now),
            updates=updates,
            forgotten=tuple(f.change for f in self._objects.forgotten()[:MAX_FORGOTTEN_SENT]),
        )

    def handle_digest(self, digest: GossipDigest) -> GossipDigest:
        """Apply a peer's digest and return this host's."""
        self._merge(digest)
        self._adopt_forgotten(digest)
        self._freshness.record_revision(digest.sender, digest.revision)
        sender = self.find(digest.sender)
        reply = self.digest(digest.sender)
        if sender is not None and digest.revision > reply.revision:
            self._executor.submit(self._catch_up, sender)
        return reply

    def exchange(self, host: Host) -> bool:
        """Exchange digests with a peer; suspect it if it does not answer indirect probes either."""
        requested_at = clock.now()
        try:
            digest = self._peers.exchange(host, self.digest(host.name))
        except (NotSent, NoResponse):
            if host.state is not HostState.DEAD:
                self._probe_indirectly(host)
            return False
        answered_at = clock.now()
        with self._lock:
            self._membership.mark_alive(host.name, clock.now())
        self._merge(digest)
        if digest.revision > self._objects.revision:
            self._catch_up(host)
        self._adopt_forgotten(digest)
        report = PeerReport(
            requested_at=requested_at,
            answered_at=answered_at,
            revision=digest.revision,
            platform_age=digest.platform_age,
            fresh=digest.fresh,
        )
        self._freshness.record_peer_report(
            host.name, report, self._objects.revision, self._objects.is_complete()
        )
        return True

    def probe_host(self, name: str) -> bool:
        """Probe a host on behalf of a peer; return whether it answers."""
        host = self.find(name)
        if host is None:
            return False
        try:
            self._peers.exchange(host, self.digest(name))
        except (NotSent, NoResponse):
            return False
        return True

    def _ask_doubtful(self, host: Host) -> None:
        try:
            self.exchange(host)
        finally:
            self._asked.discard(host.name)

    def _pick_platform_watcher(self) -> dict[str, Host]:
        own = self.own().name
        watchers = [h for h in self.platform_watchers() if h.name != own]
        if not watchers:
            return {}
        watcher = self._rng.choice(watchers)
        return {watcher.name: watcher}

    def _merge(self, digest: GossipDigest) -> None:
        now = clock.now()
        with self._lock:
            updated = [h for h in digest.updates if self._membership.merge(h, now)]
        for host in updated:
            logs.event("host_news", host=host.name, state=host.state.value, via=digest.sender)

    def _adopt_forgotten(self, digest: GossipDigest) -> None:
        if digest.forgotten and self._objects.adopt(digest.forgotten, digest.revision):
            logs.event("forgotten_adopted", count=len(digest.forgotten), via=digest.sender)
            self.push()

    def _catch_up(self, host: Host) -> None:
        try:
            delta = self._peers.pull(host, self._objects.revision)
        except (NotSent, NoResponse):
            return
        if self._objects.apply(delta):
            logs.event("settings_applied", revision=delta.revision, via=host.name)
            self.push()

    def _probe_indirectly(self, host: Host) -> None:
        """Suspect a host that did not answer, unless another peer reaches it."""
        with self._lock:
            probers = self._membership.indirect_probers(host.name, INDIRECT_PROBES)
        for prober in probers:
            try:
                if self._peers.probe(prober, host.name):
                    return
            except (NotSent, NoResponse):
                continue
        with self._lock:
            self._membership.mark_suspect(host.name, clock.now())

    def _on_host_change(self, change: Change) -> None:
        with self._lock:
            if change.removed:
                self._membership.forget(change.name)
                return
            self._membership.merge(change.decode(Host), clock.now())
