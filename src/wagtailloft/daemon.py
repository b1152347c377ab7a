"""The daemon of a host, which runs all of the host's roles in one process."""

import random
import signal
import sys
import threading
import time
import warnings
from functools import partial

import fire

from wagtailloft import clock, logs, settings
from wagtailloft.adapters.callers import CallerHandler, unfinished_response
from wagtailloft.adapters.members import HttpMemberControl
from wagtailloft.adapters.object_api import HttpObjectApi
from wagtailloft.adapters.operators import OperatorHandler
from wagtailloft.adapters.peers import PeerServer, ThriftPeers
from wagtailloft.adapters.server import HttpServer
from wagtailloft.board import Blackboard
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.freshness import FreshnessTracker
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.entry import Entry
from wagtailloft.errors import FixSettings
from wagtailloft.gossip import DOUBT_INTERVAL_S, GOSSIP_INTERVAL_S, Gossip
from wagtailloft.group_route_explanation import GroupRouteExplainer
from wagtailloft.group_service import GroupServiceContext, GroupServices, HeartbeatInterval
from wagtailloft.handler import PeerHandler
from wagtailloft.host_register import HostRegister
from wagtailloft.leases import Leases
from wagtailloft.member_endpoint import http_link
from wagtailloft.metrics import Metrics
from wagtailloft.models import Change, Host, HostState
from wagtailloft.object_repair import REPAIR_INTERVAL_S, ObjectRepair
from wagtailloft.operators import OperatorService
from wagtailloft.platform_watcher import PlatformWatcher
from wagtailloft.rate_limiter import USAGE_REPORT_INTERVAL_S, RateLimiter, TokenGranter
from wagtailloft.session_tokens import SessionTokens
from wagtailloft.supervision import EXIT_TASK_FAILED, ReportingExecutor, Supervisor
from wagtailloft.timers import Timers

GROUP_TICK_INTERVAL_S = 0.1
OWNERSHIP_INTERVAL_S = 0.25
REGISTRATION_INTERVAL_S = 1.0
BACKGROUND_THREADS = 32
OPERATOR_THREADS = 8
LEAVE_PROPAGATION_S = 1.2
# A caller on a busy machine connects this long after it chose the host from an older list.
LATE_CALLER_S = 1.0
IDLE_BEFORE_EXIT_S = 0.3
# Open transactions may go on for this share of the drain timeout.
TRANSACTION_DRAIN_SHARE = 0.5
EXIT_INVALID_SETTINGS = 2
THREAD_SWITCH_INTERVAL_S = 0.005


class Daemon:
    """Builds the components of one host, and starts and stops them in order."""

    def __init__(self, *, cfg: settings.Settings) -> None:
        self.cfg = cfg
        self._stopping = threading.Event()
        self._exit_code = 0
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
        self.metrics = Metrics()
        self.supervisor = Supervisor(
            count_failure=lambda name: self.metrics.task_failures.labels(name).inc(),
            end_process=self._end_after_failure,
        )
        logs.on_write_failure(partial(self.supervisor.report, "logs"))
        self.executor = ReportingExecutor(
            threads=BACKGROUND_THREADS, name="background", supervisor=self.supervisor
        )
        self.timers = Timers(executor=self.executor, supervisor=self.supervisor)
        self.decisions = Decisions(host=own.name)
        self.object_api = HttpObjectApi(address=cfg.platform.address, source=own.ip)
        self.objects = ObjectCache(on_new_era=self._era_changed)
        self.freshness = FreshnessTracker()
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
            supervisor=self.supervisor,
        )
        self.host_register = HostRegister(
            gossip=self.gossip, object_api=self.object_api, catalog=self.catalog
        )
        self.object_repair = ObjectRepair(
            objects=self.objects,
            object_api=self.object_api,
            gossip=self.gossip,
            platform_watcher=self.platform_watcher,
        )
        self.group_services = GroupServices(
            context=GroupServiceContext(
                host=own.name,
                board=Blackboard(),
                catalog=self.catalog,
                object_api=self.object_api,
                metrics=self.metrics,
                decisions=self.decisions,
                connect=lambda member: http_link(member, own.ip),
                heartbeat_interval=HeartbeatInterval(),
                supervisor=self.supervisor,
                controls=lambda member: HttpMemberControl(member=member, source=own.ip),
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
            group_services=self.group_services,
            rate_limiter=self.rate_limiter,
            session_tokens=SessionTokens(secrets=_secrets(cfg)),
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.operators = OperatorService(
            catalog=self.catalog,
            object_api=self.object_api,
            platform_watcher=self.platform_watcher,
            gossip=self.gossip,
            freshness=self.freshness,
            peers=self.peers,
            group_services=self.group_services,
            leases=self.leases,
            decisions=self.decisions,
            executor=self.executor,
        )
        handler = PeerHandler(
            gossip=self.gossip,
            objects=self.objects,
            group_services=self.group_services,
            token_granter=token_granter,
            operators=self.operators,
        )
        self.caller_handler = CallerHandler(entry=self.entry, body_limit=self._body_limit)
        operator_handler = OperatorHandler(
            operators=self.operators,
            route_explainer=GroupRouteExplainer(
                catalog=self.catalog,
                gossip=self.gossip,
                group_services=self.group_services,
                owners_of=self.entry.owners_of,
            ),
            metrics=self.metrics,
            drain=self.request_stop,
        )
        self.peer_server = PeerServer(
            ip=own.ip, port=cfg.host.peer_port, handler=handler, supervisor=self.supervisor
        )
        self.operator_server = HttpServer(
            ip=own.ip,
            port=own.operator_port,
            handler=operator_handler,
            threads=OPERATOR_THREADS,
            name="operators",
            supervisor=self.supervisor,
        )
        self.caller_server = HttpServer(
            ip=own.ip,
            port=own.caller_port,
            handler=self.caller_handler,
            threads=cfg.process.threads,
            name="callers",
            supervisor=self.supervisor,
        )
        self.objects.watch("key", self._key_changed)
        self.objects.watch("group", lambda c: self.group_services.reload(c.name))
        self._drain_timeout = cfg.process.drain

    def start(self) -> None:
        """Start the servers and the periodic tasks."""
        self.peer_server.start()
        self.operator_server.start()
        self.platform_watcher.start()
        self.timers.every("gossip", GOSSIP_INTERVAL_S, self.gossip.tick)
        self.timers.every("doubts", DOUBT_INTERVAL_S, self.gossip.ask_doubtful_peers)
        self.timers.every("groups", GROUP_TICK_INTERVAL_S, self._tick_groups)
        self.timers.every("owners", OWNERSHIP_INTERVAL_S, self._tick_ownership)
        self.timers.every("leases", OWNERSHIP_INTERVAL_S, self.leases.tick)
        self.timers.every("limits", USAGE_REPORT_INTERVAL_S, self.rate_limiter.report_usage)
        self.timers.every("join", REGISTRATION_INTERVAL_S, self.host_register.register)
        self.timers.every("repair", REPAIR_INTERVAL_S, self.object_repair.tick)
        self.timers.every("reaper", REGISTRATION_INTERVAL_S, self.host_register.remove_dead_hosts)
        self.timers.start()
        self.executor.submit(self.host_register.register)
        self.caller_server.start()
        logs.event("started", host=self.cfg.host.name, zone=self.cfg.host.zone)

    def request_stop(self) -> None:
        """Request a graceful stop; return at once."""
        self._stopping.set()

    def wait(self) -> int:
        """Serve until a stop is requested, then stop without interrupting requests.

        Requests that still run after the drain timeout are interrupted. Return the exit code.
        """
        self._stopping.wait()
        self._stop()
        return self._exit_code

    def _end_after_failure(self) -> None:
        self._exit_code = EXIT_TASK_FAILED
        self.request_stop()

    def _stop(self) -> None:
        logs.event("stopping", host=self.cfg.host.name)
        deadline = time.monotonic() + self._drain_timeout
        self.gossip.leave()
        self.host_register.publish()
        self.caller_server.closing = True
        self._wait_until_idle(deadline)
        self.caller_server.give_up(unfinished_response)
        self.caller_server.stop()
        self.leases.release()
        self.group_services.close()
        self.host_register.unregister()
        self.platform_watcher.stop()
        self.timers.stop()
        self.operator_server.stop()
        self.peer_server.stop()
        logs.event("stopped", host=self.cfg.host.name)

    def _wait_until_idle(self, deadline: float) -> None:
        """Wait until this host may exit, but no longer than the deadline.

        It may exit once the other hosts and late callers know that it is leaving, and nothing has
        run here for IDLE_BEFORE_EXIT_S. Open transactions end when their share of the time is over.
        """
        transactions_until = deadline - self._drain_timeout * (1 - TRANSACTION_DRAIN_SHARE)
        propagated_at = time.monotonic() + LEAVE_PROPAGATION_S + LATE_CALLER_S
        idle_since = time.monotonic()
        while time.monotonic() < deadline:
            if time.monotonic() >= transactions_until:
                self.group_services.stop_transactions()
            if self.caller_handler.active or self.group_services.active_count():
                idle_since = time.monotonic()
            idle = time.monotonic() - idle_since >= IDLE_BEFORE_EXIT_S
            if idle and time.monotonic() >= propagated_at:
                return
            time.sleep(0.02)

    def _tick_groups(self) -> None:
        for service in self.group_services.open_groups():
            self.executor.submit(service.tick)

    def _tick_ownership(self) -> None:
        leaving = self.gossip.own().state is HostState.LEAVING
        self.group_services.tick(frozenset() if leaving else self.entry.preferred_groups())
        now = clock.now()
        self.metrics.settings_revision.set(self.objects.revision)
        self.metrics.settings_age.set(min(self.freshness.age(now), 1e6))
        states = [h.state for h in self.gossip.hosts()]
        for state in HostState:
            self.metrics.hosts.labels(state.value).set(states.count(state))

    def _era_changed(self, era: int) -> None:
        self.metrics.store_eras.inc()
        logs.warn("store_era_changed", store_era=era)

    def _key_changed(self, change: Change) -> None:
        if change.removed:
            self.executor.submit(self.group_services.withdraw_key, change.name)

    def _body_limit(self, route: str) -> int:
        return self.catalog.options(route, "").body_limit


def _secrets(cfg: settings.Settings) -> tuple[str, ...]:
    older = cfg.session.older_secret
    return (cfg.session.secret, older) if older else (cfg.session.secret,)


def run(settings_file: str) -> None:
    """Run the daemon until a signal, an operator or a failed task stops it.

    Exit with code 2 on invalid settings.
    """
    try:
        cfg = settings.load(settings_file)
    except FixSettings as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    logs.start(cfg.process.log)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    daemon = Daemon(cfg=cfg)
    signal.signal(signal.SIGTERM, lambda *_: daemon.request_stop())
    signal.signal(signal.SIGINT, lambda *_: daemon.request_stop())
    daemon.start()
    code = daemon.wait()
    logs.flush()
    if code:
        sys.exit(code)


def main() -> None:
    """Parse the command line and run the daemon."""
    warnings.simplefilter("ignore", SyntaxWarning)
    fire.Fire(lambda settings: run(str(settings)), name="wagtailloftd")


if __name__ == "__main__":
    main()
