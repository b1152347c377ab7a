"""A model of daemons and of a platform that comes back from older copies, for stateful tests.

What the daemons know, repair and lease is real, and so is the client of the object API. The
platform is the stand-in; the network, the threads and the clock are models.
"""

import json
import random
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

import msgspec
import urllib3

from features.fake_mesh import make_host
from standins.platform import FakePlatform
from wagtailloft import gossip, leases, models, operators, platform_watcher
from wagtailloft.adapters.object_api import HttpObjectApi
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.freshness import (
    SETTINGS_MAX_AGE_S,
    FreshnessTracker,
    SettingsState,
)
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.host_register import HostRegister
from wagtailloft.object_repair import ObjectRepair
from wagtailloft.revisions import era_of
from wagtailloft.supervision import Supervisor

DAEMONS, ZONES = 4, 2
SHARDS = 2
LEVEL = "level"
PLATFORM = "platform"
STEP_S = 0.05
START_S = 1000.0
FIRST_INCARNATION = 1_000_000  # of the daemons that start at START_S
COPIES = 400
CONVERGE_S = 15.0
LATE_WRITE_S = 3.0
INTERVALS_S = {
    "watch": 0.2,
    "gossip": 0.5,
    "repair": 0.25,
    "leases": 0.25,
    "register": 1.0,
    "doubts": gossip.DOUBT_INTERVAL_S,
}


class Transport:
    """The HTTP transport of one daemon's client, without a network."""

    def __init__(self, *, fleet, daemon):
        """Let a daemon call the platform."""
        self._fleet, self._daemon = fleet, daemon

    def request(self, method, url, body=None, timeout=None):
        """Return the platform's response; raise urllib3's error if there is none."""
        parts, fleet = urlsplit(url), self._fleet
        query = {**dict(parse_qsl(parts.query)), "wait": "0"}
        call = (None, method, parts.path, query, json.loads(body) if body else {})
        if fleet.platform_down or self._daemon.refused:
            raise urllib3.exceptions.HTTPError("refused")
        try:
            is_reset = self._daemon.loses_response(PLATFORM)
        except NotSent as exc:
            raise urllib3.exceptions.NewConnectionError(None, str(exc)) from exc
        if method == "PUT" and fleet.late_writes:
            fleet.late_writes -= 1
            fleet.pending.append((fleet.now + LATE_WRITE_S, call))
            raise urllib3.exceptions.HTTPError("no response")
        status, value = fleet.platform.handle(*call)
        if is_reset:
            raise urllib3.exceptions.ProtocolError("connection reset")
        if method == "PUT" and fleet.lost_answers:
            fleet.lost_answers -= 1
            raise urllib3.exceptions.HTTPError("no response")
        headers = {k: str(v) for k, v in fleet.platform.reply_headers().items()}
        return SimpleNamespace(status=status, data=json.dumps(value).encode(), headers=headers)


class ModelPeers:
    """The connections of one daemon to the others."""

    def __init__(self, *, fleet, daemon):
        """Connect a daemon."""
        self._fleet, self._daemon = fleet, daemon

    def exchange(self, host, digest):
        """Exchange digests; raise NotSent or NoResponse."""
        return self._call(host, lambda other: other.gossip.handle_digest(digest))

    def pull(self, host, after):
        """Return the changes after a revision; raise NotSent or NoResponse."""
        return self._call(host, lambda other: other.objects.changes_since(after))

    def probe(self, host, other):
        """Return whether a host reaches another; raise NotSent or NoResponse."""
        return self._call(host, lambda prober: prober.gossip.probe_host(other))

    def _call(self, host, method):
        daemon, other = self._daemon, self._fleet.daemons[int(host.name[1:])]
        if daemon.cut or other.cut or other.paused or daemon.side != other.side:
            raise NoResponse("no connection")
        is_reset = daemon.loses_response(other.number) | other.loses_response(daemon.number)
        response = method(other)
        if is_reset:
            raise NoResponse("connection reset")
        return response


class Queue:
    """An executor that runs its calls when the model lets the daemon run."""

    def __init__(self):
        """Start empty."""
        self._calls = deque()

    def submit(self, function, *args):
        """Queue a call."""
        self._calls.append((function, args))

    def run(self):
        """Run the calls that are queued now."""
        for _ in range(len(self._calls)):
            function, args = self._calls.popleft()
            function(*args)


class ModelDaemon:
    """A daemon, in one process after another."""

    def __init__(self, *, fleet, number):
        """Start the daemon's first process."""
        self.fleet, self.number = fleet, number
        self.cut = self.refused = self.paused = self.reset = False
        self.side, self.connected, self.incarnation, self.starts = 0, set(), 0, 0
        self.restart()

    def loses_response(self, peer):
        """Tell whether a call over a connection is done without a response, as it is reset.

        Raise NotSent once a new connection is refused.
        """
        if not self.reset:
            return False
        if peer not in self.connected:
            raise NotSent("connection refused")
        self.connected.remove(peer)
        return True

    def restart(self, *, incarnation=None):
        """Replace the daemon's process by one that knows nothing, at another address.

        The incarnation is that of the present time unless it is given.
        """
        self.starts += 1
        self.incarnation = max(self.incarnation + 1, int(self.fleet.now * 1000))
        own = make_host(self.number, ZONES, incarnation=incarnation or self.incarnation)
        own = msgspec.structs.replace(own, ip=f"10.{self.starts}.0.{self.number}")
        rng = random.Random(own.process_name)
        self.name, self.queue = f"{own.process_name}.{self.starts}", Queue()
        self.withdrawn, self.value, self.era, self.dropped_in = set(), 0, 0, 0
        self.api = HttpObjectApi(address="platform", source=own.ip)
        self.api._http = Transport(fleet=self.fleet, daemon=self)
        self.objects, self.freshness = ObjectCache(), FreshnessTracker()
        self.objects.watch("level", self._level_changed)
        decisions = Decisions(host=own.name)
        self.gossip = gossip.Gossip(
            membership=Membership(own=own, rng=rng),
            objects=self.objects,
            freshness=self.freshness,
            peers=ModelPeers(fleet=self.fleet, daemon=self),
            executor=self.queue,
            decisions=decisions,
        )
        self.gossip._rng = rng
        self.watcher = platform_watcher.PlatformWatcher(
            object_api=self.api,
            objects=self.objects,
            freshness=self.freshness,
            gossip=self.gossip,
            supervisor=Supervisor(),
        )
        self.repair = ObjectRepair(
            objects=self.objects,
            object_api=self.api,
            gossip=self.gossip,
            platform_watcher=self.watcher,
            clock=lambda: self.fleet.now,
        )
        catalog = Catalog(objects=self.objects, region="r", zone=own.zone)
        self.host_register = HostRegister(gossip=self.gossip, object_api=self.api, catalog=catalog)
        self.leases = leases.Leases(
            holder=own.process_name,
            object_api=self.api,
            gossip=self.gossip,
            catalog=catalog,
            decisions=decisions,
        )
        self.leases._shards = dict(list(self.leases._shards.items())[:SHARDS])
        self.operators = operators.OperatorService(
            catalog=catalog,
            object_api=self.api,
            platform_watcher=self.watcher,
            gossip=self.gossip,
            freshness=self.freshness,
            peers=None,
            group_services=None,
            leases=self.leases,
            decisions=decisions,
            executor=self.queue,
        )
        self._due = {name: self.fleet.now + rng.uniform(0, s) for name, s in INTERVALS_S.items()}

    def step(self):
        """Run what is due."""
        self.queue.run()
        for name, interval in INTERVALS_S.items():
            if self.fleet.now >= self._due[name]:
                self._due[name] += interval
                getattr(self, f"_{name}")()

    def wake(self):
        """Go on after a pause; what was missed is not caught up."""
        self.paused = False
        self._due = {name: max(at, self.fleet.now) for name, at in self._due.items()}

    def accepts(self, key):
        """Tell whether the daemon serves requests with a key."""
        if self.gossip.settings_state() is SettingsState.STALE:
            return False
        return self.objects.get("key", key) is not None

    def _level_changed(self, change):
        if change.removed and self.objects.is_complete():
            self.dropped_in = era_of(self.objects.revision)

    def _watch(self):
        unconfirmed = self.freshness.age(self.fleet.now) > platform_watcher.UNCONFIRMED_LIMIT_S
        if self.watcher.is_platform_watcher() or unconfirmed:
            self.watcher.refresh()

    def _gossip(self):
        self.gossip.tick()

    def _doubts(self):
        self.gossip.ask_doubtful_peers()

    def _repair(self):
        self.repair.tick()

    def _leases(self):
        self.leases.tick()

    def _register(self):
        self.host_register.register()
        self.host_register.remove_dead_hosts()


@dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A withdrawal of a key, the process that it was sent to, and when that confirmed it."""

    at: float
    known_by: str
    confirmed_at: float | None = None


class ModelDaemons:
    """The daemons and the platform, in steps of virtual time."""

    def __init__(self, *, seed, count=DAEMONS):
        """Start the daemons and let them settle."""
        self.now, self.rng = START_S, random.Random(seed)
        self.platform = FakePlatform(host_lag_s=1.0)
        self.platform_down, self.lost_answers, self.late_writes = False, 0, 0
        self.pending, self._events, self.violations = [], [], []
        self._copies = deque(maxlen=COPIES)
        self.keys, self.withdrawals, self._next_key = [], {}, 0
        self.changes, self.confirmed, self._next_value = [], set(), 0
        self._disturbed_at = 0.0
        self._stack = ExitStack()
        clock = SimpleNamespace(monotonic=lambda: self.now, time=lambda: self.now)
        self._stack.enter_context(patch("wagtailloft.clock.now", lambda: self.now))
        self._stack.enter_context(patch("standins.platform.time", clock))
        waiting = SimpleNamespace(monotonic=clock.monotonic, sleep=self.advance)
        self._stack.enter_context(patch("wagtailloft.operators.time", waiting))
        self.daemons = []
        self.daemons = [ModelDaemon(fleet=self, number=n) for n in range(count)]
        self.advance(8.0)

    def close(self):
        """Give the clock back."""
        self._stack.close()

    def advance(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._run_events()
            order = [d for d in self.daemons if not d.paused]
            self.rng.shuffle(order)
            for daemon in order:
                daemon.step()
            self._remember_copy()
            self._check()

    def add_key(self, number):
        """Let a daemon add a key."""
        daemon, name = self.daemons[number], f"k{self._next_key}"
        if daemon.paused:
            return
        self._next_key += 1
        put = daemon.api.put("key", name, models.Key(digest=name, team="t"), 0)
        if put.is_ok():
            self.keys.append(name)
            daemon.watcher.refresh()

    def withdraw_key(self, number, *, wait=False):
        """Let the operator withdraw the oldest key through a daemon, if `wait` until it answers."""
        daemon = self.daemons[number]
        if daemon.paused or not self.keys or not daemon.objects.is_complete():
            return
        known, process, at = daemon.objects.get("key", self.keys[0]), daemon.name, self.now
        if known is None:
            self.keys.append(self.keys.pop(0))
            return
        if wait:
            confirmed = daemon.operators.remove("key", known.name, known.revision).is_ok()
        else:
            confirmed = False
            if daemon.api.put("key", known.name, None, known.revision).is_err():
                return
            daemon.watcher.refresh()
        if daemon.name != process:
            return
        if confirmed or daemon.objects.get("key", known.name) is None:
            confirmed_at = self.now if confirmed and not self.disturbed_after(at) else None
            self.keys.remove(known.name)
            self.withdrawals[known.name] = Withdrawal(
                at=self.now, known_by=process, confirmed_at=confirmed_at
            )

    def disturbed_after(self, at):
        """Tell whether a process, or the store, has lost since what it knew."""
        return self._disturbed_at >= at

    def change_level(self, number):
        """Let a daemon raise a level of the settings, as its operator interface does."""
        daemon = self.daemons[number]
        if daemon.paused or not daemon.objects.revision:
            return
        known = daemon.objects.get("level", LEVEL)
        self._next_value += 1
        value = {"name": LEVEL, "value": self._next_value}
        revision = known.revision if known else 0
        if daemon.api.put("level", LEVEL, value, revision).is_ok():
            daemon.watcher.refresh()
            if value_of_level(daemon.objects) == self._next_value:
                self.changes.append((self._next_value, daemon.name))
                self.confirmed.add(self._next_value)

    def restore(self, *, age, outage, restarted):
        """Bring the platform back from an older copy, and restart daemons at that moment."""
        if self.platform_down:
            return
        self.platform_down = True

        def come_back():
            wanted = self.now - age - outage
            _, self.platform.saved = next(c for c in self._copies if c[0] >= wanted)
            self.platform._restore()
            self._copies.clear()
            self.platform_down = False
            self._disturbed_at = self.now
            for number in restarted:
                self.daemons[number].restart()

        self._events.append((self.now + outage, come_back))

    def restart(self, number, *, incarnation=None):
        """Restart a daemon."""
        self._disturbed_at = self.now
        self.daemons[number].restart(incarnation=incarnation)

    def refuse(self, number, seconds):
        """Let the platform refuse a daemon for a time."""
        self.daemons[number].refused = True
        self._events.append(
            (self.now + seconds, lambda: setattr(self.daemons[number], "refused", False))
        )

    def cut(self, number, seconds):
        """Cut a daemon off from the others for a time."""
        self.daemons[number].cut = True
        self._events.append(
            (self.now + seconds, lambda: setattr(self.daemons[number], "cut", False))
        )

    def part(self, apart, refused, seconds):
        """Cut some daemons off from the rest, and let the platform refuse some, for a time."""
        for number in apart:
            daemon = self.daemons[number]
            daemon.side = 1
            self._events.append((self.now + seconds, lambda d=daemon: setattr(d, "side", 0)))
        for number in refused:
            self.refuse(number, seconds)

    def reset(self, number, seconds):
        """Reset the connections of a daemon that runs, and refuse new ones for a time."""
        daemon = self.daemons[number]
        daemon.reset, daemon.connected = True, {PLATFORM, *range(len(self.daemons))}
        self._events.append((self.now + seconds, lambda: setattr(daemon, "reset", False)))

    def pause(self, number, seconds):
        """Freeze a daemon for a time."""
        self.daemons[number].paused = True
        self._events.append((self.now + seconds, self.daemons[number].wake))

    def converge(self):
        """End all faults; return what the daemons and the platform disagree on after a while."""
        self.lost_answers = self.late_writes = 0
        for daemon in self.daemons:
            daemon.cut = daemon.refused = daemon.reset = False
            daemon.side = 0
            daemon.wake()
        self.advance(CONVERGE_S)
        stored = {name for kind, name in self.platform.objects if kind == "key"}
        running, wrong = {d.name for d in self.daemons}, []
        for daemon in self.daemons:
            keys = {c.name for c in daemon.objects.all("key")}
            if keys != stored:
                wrong.append(f"{daemon.name} has {keys}, the platform {stored}")
            if not daemon.objects.is_complete() or daemon.objects.forgotten():
                wrong.append(f"{daemon.name} has not settled the era")
            if daemon.gossip.settings_state() is not SettingsState.FRESH:
                wrong.append(f"{daemon.name} has old settings")
            hosts = {(h.name, h.ip, h.state.value) for h in daemon.gossip.hosts()}
            owns = [h.gossip.own() for h in self.daemons]
            if hosts != {(own.name, own.ip, "alive") for own in owns}:
                wrong.append(f"{daemon.name} takes the hosts for {hosts}")
        for shard in self.daemons[0].leases._shards:
            if len(self._granting(shard, self.daemons)) != 1:
                wrong.append(f"{self._granting(shard, self.daemons)} grant the tokens of {shard}")
        back = [n for n, w in self.withdrawals.items() if n in stored and w.known_by in running]
        wrong += [f"the withdrawn {name} is back" for name in back]
        latest = max((v for v, name in self.changes if name in running), default=0)
        values = [value_of_level(d.objects) for d in self.daemons]
        return wrong + [f"{values} of {latest}"] * (min(values) < latest or len(set(values)) > 1)

    def _run_events(self):
        due = [e for e in self._events if e[0] <= self.now]
        self._events = [e for e in self._events if e[0] > self.now]
        for _, action in due:
            action()
        late = [p for p in self.pending if p[0] <= self.now]
        self.pending = [p for p in self.pending if p[0] > self.now]
        for _, call in late:
            self.platform.handle(*call)

    def _remember_copy(self):
        if not self.platform_down:
            platform = self.platform
            state = (platform.revision, platform.objects, platform.last_revision_by_kind)
            copy = (state[0], dict(state[1]), state[2].copy())
            self._copies.append((self.now, copy))

    def _check(self):
        running = [d for d in self.daemons if not d.paused]
        for shard in self.daemons[0].leases._shards:
            granting = self._granting(shard, running)
            if len(granting) > 1:
                self.violations.append(f"{granting} grant the tokens of {shard}")
        for daemon in running:
            self._check_keys(daemon)
            self._check_level(daemon)

    def _granting(self, shard, daemons):
        rights = {d.name: d.leases.grant_right(shard) for d in daemons}
        return [name for name, r in rights.items() if r and r.granting_from <= self.now]

    def _check_level(self, daemon):
        value, era = value_of_level(daemon.objects), era_of(daemon.objects.revision)
        if value == 0 and daemon.dropped_in > daemon.era:
            # It was away until an era was settled, and drops what nobody else has written again.
            daemon.value = 0
            self.changes = [change for change in self.changes if change[1] != daemon.name]
        if daemon.objects.revision and value < daemon.value:
            self.violations.append(f"{daemon.name} went back from {daemon.value} to {value}")
        daemon.era = era
        # A change that nobody confirmed may be undone, if it was done after its era.
        if value in self.confirmed:
            daemon.value = max(daemon.value, value)

    def _check_keys(self, daemon):
        for name, withdrawal in self.withdrawals.items():
            confirmed_at = withdrawal.confirmed_at
            if confirmed_at is not None and not self.disturbed_after(confirmed_at):
                late = self.now - confirmed_at > SETTINGS_MAX_AGE_S + STEP_S
                if late and daemon.accepts(name):
                    self.violations.append(f"{daemon.name} still accepts {name}")
            # A process that never knew the key has not learned of its withdrawal by lacking it.
            if ("key", name) in daemon.objects._removals:
                daemon.withdrawn.add(name)
            if name in daemon.withdrawn and daemon.accepts(name):
                self.violations.append(f"{daemon.name} accepts {name} again")


def value_of_level(objects):
    """Return the value that a daemon has in force, 0 if none."""
    change = objects.get("level", LEVEL)
    return json.loads(bytes(change.value))["value"] if change else 0
