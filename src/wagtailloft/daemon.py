"""The daemon: every role of one host in one process."""

import random
import signal
import sys
import threading
import time
import warnings
from concurrent.futures import ThreadPoolExecutor

import fire
from result import Err

from wagtailloft import logs, settings
from wagtailloft.adapters.callers import Front
from wagtailloft.adapters.members import HttpControl
from wagtailloft.adapters.object_api import HttpObjectApi
from wagtailloft.adapters.operators import Desk
from wagtailloft.adapters.peers import PeerServer, ThriftPeers
from wagtailloft.adapters.server import HttpServer
from wagtailloft.board import Blackboard
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import Freshness, ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.entry import Entry
from wagtailloft.errors import FixSettings
from wagtailloft.gossip import GOSSIP_INTERVAL_S, Gossip
from wagtailloft.handler import PeerHandler
from wagtailloft.leases import Leases
from wagtailloft.member import http_link
from wagtailloft.metrics import Metrics
from wagtailloft.models import Change, Host, HostState
from wagtailloft.operators import Operators
from wagtailloft.owner import HeartbeatPace, OwnerContext, Owners
from wagtailloft.platform_watcher import PlatformWatcher
from wagtailloft.rate_limiter import USAGE_REPORT_INTERVAL_S, RateLimiter, TokenGranter
from wagtailloft.session_tokens import SessionTokens
from wagtailloft.timers import Timers

TICK_S = 0.1
OWN_S = 0.25
JOIN_S = 1.0
BACKGROUND_THREADS = 32
OPERATOR_THREADS = 8
LEAVE_NOTICE_S = 1.2
LEAVE_QUIET_S = 0.3
EXIT_SETTINGS = 2
SWITCH_INTERVAL_S = 0.005


class Daemon:
    """Hold the parts of one daemon and start and stop them in order."""

    def __init__(self, *, cfg: settings.Settings) -> None:
        self.cfg = cfg
        self._stopping = threading.Event()
        self._stopped = threading.Event()
        incarnation = time.time_ns() // 1_000_000
        own = Host(
            name=cfg.host.name,
            ip=cfg.host.ip,
            caller_port=cfg.host.caller_port,
            peer_port=cfg.host.announced_peer_port or cfg.host.peer_port,
            operator_port=cfg.host.operator_port,
            zone=cfg.host.zone,
            region=cfg.host.region,
            incarnation=incarnation,
        )
        holder = f"{own.name}/{incarnation}"
        self.executor = ThreadPoolExecutor(BACKGROUND_THREADS, thread_name_prefix="background")
        self.timers = Timers(executor=self.executor)
        self.metrics = Metrics()
        self.decisions = Decisions(host=own.name)
        self.object_api = HttpObjectApi(address=cfg.platform.address, source=own.ip)
        self.objects = ObjectCache()
        self.freshness = Freshness()
        self.peers = ThriftPeers(source=own.ip)
        self.catalog = Catalog(objects=self.objects, region=own.region, zone=own.zone)
        self.gossip = Gossip(
            membership=Membership(own=own, rng=random.Random()),
            objects=self.objects,
            freshness=self.freshness,
            peers=self.peers,
            executor=self.executor,
            decisions=self.decisions,
        )
        self.platform_watcher = PlatformWatcher(
            object_api=self.object_api,
            objects=self.objects,
            freshness=self.freshness,
            gossip=self.gossip,
        )
        self.owners = Owners(
            context=OwnerContext(
                host=own.name,
                board=Blackboard(),
                catalog=self.catalog,
                object_api=self.object_api,
                metrics=self.metrics,
                decisions=self.decisions,
                connect=lambda member: http_link(member, own.ip),
                pace=HeartbeatPace(),
                controls=lambda member: HttpControl(member=member, source=own.ip),
            )
        )
        self.leases = Leases(
            holder=holder,
            object_api=self.object_api,
            gossip=self.gossip,
            catalog=self.catalog,
            decisions=self.decisions,
        )
        token_granter = TokenGranter(leases=self.leases, catalog=self.catalog, metrics=self.metrics)
        self.rate_limiter = RateLimiter(
            requester_id=holder, gossip=self.gossip, peers=self.peers, granter=token_granter
        )
        self.entry = Entry(
            catalog=self.catalog,
            gossip=self.gossip,
            peers=self.peers,
            owners_here=self.owners,
            rate_limiter=self.rate_limiter,
            session_tokens=SessionTokens(secrets=_secrets(cfg)),
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.operators = Operators(
            catalog=self.catalog,
            object_api=self.object_api,
            platform_watcher=self.platform_watcher,
            gossip=self.gossip,
            freshness=self.freshness,
            peers=self.peers,
            owners=self.owners,
            leases=self.leases,
            decisions=self.decisions,
            executor=self.executor,
        )
        handler = PeerHandler(
            gossip=self.gossip,
            objects=self.objects,
            owners=self.owners,
            token_granter=token_granter,
            operators=self.operators,
        )
        self.front = Front(entry=self.entry, body_limit=self._body_limit)
        desk = Desk(operators=self.operators, metrics=self.metrics, drain=self.ask_stop)
        self.peer_server = PeerServer(ip=own.ip, port=cfg.host.peer_port, handler=handler)
        self.operator_server = HttpServer(
            ip=own.ip,
            port=own.operator_port,
            handler=desk,
            threads=OPERATOR_THREADS,
            name="operators",
        )
        self.caller_server = HttpServer(
            ip=own.ip,
            port=own.caller_port,
            handler=self.front,
            threads=cfg.process.threads,
            name="callers",
        )
        self.objects.watch("key", self._key_changed)
        self.objects.watch("group", lambda c: self.owners.change(c.name))
        self._drain_limit = cfg.process.drain

    def start(self) -> None:
        """Start serving."""
        self.peer_server.start()
        self.operator_server.start()
        self.platform_watcher.start()
        self.timers.every("gossip", GOSSIP_INTERVAL_S, self.gossip.tick)
        self.timers.every("groups", TICK_S, self._tick_groups)
        self.timers.every("owners", OWN_S, self._tick_owners)
        self.timers.every("leases", OWN_S, self.leases.tick)
        self.timers.every("limits", USAGE_REPORT_INTERVAL_S, self.rate_limiter.report_usage)
        self.timers.every("join", JOIN_S, self._join)
        self.timers.every("reaper", JOIN_S, self._reap)
        self.timers.start()
        self.executor.submit(self._join)
        self.caller_server.start()
        logs.event("started", host=self.cfg.host.name, zone=self.cfg.host.zone)

    def ask_stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    def wait(self) -> None:
        """Serve until asked to stop, then stop without cutting a request."""
        self._stopping.wait()
        self._stop()

    def _stop(self) -> None:
        logs.event("stopping", host=self.cfg.host.name)
        until = time.monotonic() + self._drain_limit
        self.gossip.leave()
        self._publish(HostState.LEAVING)
        self.caller_server.closing = True
        self._settle(until)
        self.caller_server.stop()
        self.leases.release()
        self.owners.close()
        self._unlist()
        self.platform_watcher.stop()
        self.timers.stop()
        self.operator_server.stop()
        self.peer_server.stop()
        logs.event("stopped", host=self.cfg.host.name)

    def _settle(self, until: float) -> None:
        """Wait until peers know that we leave and all that runs here has ended."""
        notice = time.monotonic() + LEAVE_NOTICE_S
        quiet_since = time.monotonic()
        while time.monotonic() < until:
            if self.front.active or self.owners.active():
                quiet_since = time.monotonic()
            quiet = time.monotonic() - quiet_since >= LEAVE_QUIET_S
            if quiet and time.monotonic() >= notice:
                return
            time.sleep(0.02)

    def _tick_groups(self) -> None:
        for owner in self.owners.held():
            self.executor.submit(owner.tick)

    def _tick_owners(self) -> None:
        leaving = self.gossip.own().state is HostState.LEAVING
        self.owners.tick(frozenset() if leaving else self.entry.owned_here())
        now = time.monotonic()
        self.metrics.revision.set(self.objects.revision)
        self.metrics.freshness.set(min(self.freshness.age(now), 1e6))
        states = [h.state for h in self.gossip.hosts()]
        for state in HostState:
            self.metrics.hosts.labels(state.value).set(states.count(state))

    def _join(self) -> None:
        own = self.gossip.own()
        if own.state is not HostState.ALIVE:
            return
        listed = self.catalog.find(Host, own.name)
        if listed is None or listed.incarnation < own.incarnation:
            self._publish(HostState.ALIVE)

    def _reap(self) -> None:
        """Take hosts that died off the platform's list, one host of the fleet at a time."""
        first = self.gossip.owners("reaper")[:1]
        mine = [h.name for h in first] == [self.gossip.own().name]
        if not mine or not self.gossip.hears_majority():
            return
        for host in self.gossip.long_dead():
            found = self.object_api.get("host", host.name)
            if isinstance(found, Err) or found.ok_value is None:
                continue
            if found.ok_value.decode(Host).incarnation == host.incarnation:
                self.object_api.put("host", host.name, None, found.ok_value.revision)
                logs.warn("host_unlisted", host=host.name)

    def _publish(self, state: HostState) -> None:
        own = self.gossip.own()
        found = self.object_api.get("host", own.name)
        if isinstance(found, Err):
            return
        version = found.ok_value.revision if found.ok_value else 0
        self.object_api.put("host", own.name, own, version)
        logs.event("published", host=own.name, state=state.value)

    def _unlist(self) -> None:
        found = self.object_api.get("host", self.cfg.host.name)
        if found.is_ok() and found.ok_value is not None:
            self.object_api.put("host", self.cfg.host.name, None, found.ok_value.revision)

    def _key_changed(self, change: Change) -> None:
        if change.removed:
            self.executor.submit(self.owners.withdraw, change.name)

    def _body_limit(self, route: str) -> int:
        return self.catalog.options(route, "").body_limit


def _secrets(cfg: settings.Settings) -> tuple[str, ...]:
    older = cfg.session.older_secret
    return (cfg.session.secret, older) if older else (cfg.session.secret,)


def run(settings_file: str) -> None:
    """Run the daemon until it is told to stop; exit 2 on faulty settings."""
    try:
        cfg = settings.load(settings_file)
    except FixSettings as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.start(cfg.process.log)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    daemon = Daemon(cfg=cfg)
    signal.signal(signal.SIGTERM, lambda *_: daemon.ask_stop())
    signal.signal(signal.SIGINT, lambda *_: daemon.ask_stop())
    daemon.start()
    daemon.wait()


def main() -> None:
    """Read the command line."""
    warnings.simplefilter("ignore", SyntaxWarning)
    fire.Fire(lambda settings: run(str(settings)), name="wagtailloftd")


if __name__ == "__main__":
    main()
