"""Trade digests with peers: who lives, which settings are in force, how fresh they are."""

import random
import threading
import time
from concurrent.futures import Executor

import msgspec

from wagtailloft import logs
from wagtailloft.adapters.peers import Digest, Peers
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import Freshness, ObjectCache, PeerReport, SettingsState
from wagtailloft.controllers.ownership import spreaders
from wagtailloft.controllers.placement import Placement
from wagtailloft.decisions import Decisions
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.models import Change, Host, HostState

GOSSIP_INTERVAL_S = 0.5
FANOUT = 4
HELPERS = 2


class Gossip:
    """Keep membership and settings in step with the peers."""

    def __init__(
        self,
        *,
        membership: Membership,
        objects: ObjectCache,
        freshness: Freshness,
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
        self._spreaders: tuple[Host, ...] = ()
        self._spread_over: tuple[Host, ...] = ()
        self._lock = threading.RLock()
        self._placement = Placement()
        objects.watch("host", self._host_changed)

    def hosts(self) -> tuple[Host, ...]:
        """Return every known host."""
        with self._lock:
            return self._membership.hosts()

    def owners(self, subject: str, zone: str = "") -> tuple[Host, ...]:
        """Return the first few live hosts that own a subject, in order of preference."""
        with self._lock:
            self._placement.update(self._membership.hosts())
            return self._placement.owners(subject, zone)

    def platform_watchers(self) -> tuple[Host, ...]:
        """Return the hosts that watch the platform for this host's region."""
        with self._lock:
            hosts = self._membership.hosts()
            if hosts is not self._spread_over:
                self._spreaders = spreaders(self._membership.own.region, hosts)
                self._spread_over = hosts
            return self._spreaders

    def find(self, name: str) -> Host | None:
        """Return a host by name."""
        with self._lock:
            return self._membership.find(name)

    def own(self) -> Host:
        """Return this host as its peers should see it."""
        with self._lock:
            return self._membership.own

    def registered_hosts(self) -> frozenset[str]:
        """Return the names of the hosts that the platform's objects list, and our own."""
        names = {c.name for c in self._objects.all("host")}
        return frozenset(names | {self.own().name})

    def settings_state(self) -> SettingsState:
        """Return how far this host's settings can be trusted."""
        return self._freshness.state(self.registered_hosts(), time.monotonic())

    def hears_majority(self) -> bool:
        """Tell whether this host hears a majority of the registered hosts."""
        return self._freshness.majority(self.registered_hosts(), time.monotonic())

    def long_dead(self) -> tuple[Host, ...]:
        """Return the hosts that have been dead for a while."""
        with self._lock:
            return self._membership.long_dead(time.monotonic())

    def known_by_majority(self, revision: int) -> bool:
        """Tell whether a majority of the registered hosts has a revision."""
        return self._freshness.known_by_majority(self.registered_hosts(), revision)

    def majority_fresh_since(self, since: float) -> bool:
        """Tell whether a majority of other hosts has been fresh without a break since a time."""
        return self._freshness.fresh_since(self.registered_hosts(), since, time.monotonic())

    def exchange_with_all(self) -> None:
        """Trade digests with every live host, at most once an interval."""
        now = time.monotonic()
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
        """Trade digests with a spreader and the next few peers."""
        with self._lock:
            targets = {h.name: h for h in self._membership.targets(FANOUT - 1)}
            targets |= self._one_spreader()
            died = self._membership.tick(time.monotonic())
        for host in died:
            logs.warn("host_dead", host=host.name)
            self._decisions.add(host.name, "dead", "no answer to us nor to those we asked")
        for host in targets.values():
            self._executor.submit(self.exchange, host)

    def push(self) -> None:
        """Tell a few peers at once that something changed here."""
        with self._lock:
            targets = self._membership.targets(FANOUT)
        for host in targets:
            self._executor.submit(self.exchange, host)

    def leave(self) -> None:
        """Tell every live peer that this host is stopping."""
        with self._lock:
            self._membership.leave(time.monotonic())
            live = [h for h in self._membership.hosts() if h.state is HostState.ALIVE]
        for host in live:
            self._executor.submit(self.exchange, host)

    def digest(self) -> Digest:
        """Return what this host tells its peers."""
        now = time.monotonic()
        with self._lock:
            news = self._membership.news()
        return Digest(
            sender=self.own().name,
            revision=self._objects.revision,
            platform_age=self._freshness.age(now),
            fresh=self._freshness.fresh(now),
            news=news,
        )

    def handle_digest(self, digest: Digest) -> Digest:
        """Take a peer's digest and return ours."""
        self._merge(digest)
        self._freshness.told(digest.sender, digest.revision)
        sender = self.find(digest.sender)
        reply = self.digest()
        if sender is None:
            return reply
        if digest.revision > reply.revision:
            self._executor.submit(self._catch_up, sender)
        if sender.state in (HostState.SUSPECT, HostState.DEAD):
            return msgspec.structs.replace(reply, news=(*reply.news, sender))
        return reply

    def exchange(self, host: Host) -> bool:
        """Trade digests with one peer; suspect it if nobody reaches it."""
        asked = time.monotonic()
        try:
            digest = self._peers.exchange(host, self.digest())
        except (NotSent, NoResponse):
            self._unanswered(host)
            return False
        answered = time.monotonic()
        with self._lock:
            self._membership.heard(host.name, time.monotonic())
        self._merge(digest)
        if digest.revision > self._objects.revision:
            self._catch_up(host)
        report = PeerReport(
            asked=asked,
            answered=answered,
            revision=digest.revision,
            platform_age=digest.platform_age,
            fresh=digest.fresh,
        )
        self._freshness.heard(host.name, report, self._objects.revision)
        return True

    def probe_host(self, name: str) -> bool:
        """Tell whether a host answers us now, on behalf of a peer."""
        host = self.find(name)
        if host is None:
            return False
        try:
            self._peers.exchange(host, self.digest())
        except (NotSent, NoResponse):
            return False
        return True

    def _one_spreader(self) -> dict[str, Host]:
        own = self.own().name
        others = [h for h in self.platform_watchers() if h.name != own]
        if not others:
            return {}
        chosen = self._rng.choice(others)
        return {chosen.name: chosen}

    def _merge(self, digest: Digest) -> None:
        now = time.monotonic()
        with self._lock:
            fresh = [h for h in digest.news if self._membership.merge(h, now)]
        for host in fresh:
            logs.event("host_news", host=host.name, state=host.state.value, via=digest.sender)

    def _catch_up(self, host: Host) -> None:
        try:
            delta = self._peers.pull(host, self._objects.revision)
        except (NotSent, NoResponse):
            return
        if self._objects.apply(delta):
            logs.event("settings_applied", revision=delta.revision, via=host.name)
            self.push()

    def _unanswered(self, host: Host) -> None:
        with self._lock:
            helpers = self._membership.helpers(host.name, HELPERS)
        for helper in helpers:
            try:
                if self._peers.probe(helper, host.name):
                    return
            except (NotSent, NoResponse):
                continue
        with self._lock:
            self._membership.missed(host.name, time.monotonic())

    def _host_changed(self, change: Change) -> None:
        with self._lock:
            if change.removed:
                self._membership.forget(change.name)
                return
            self._membership.merge(change.decode(Host), time.monotonic())
