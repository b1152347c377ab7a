"""A host process for a platform that has its own store, target registry and promotion API."""

import asyncio
import secrets
import signal
import time
from collections.abc import Callable
from functools import partial

import msgspec

from wagtailloft import logs, route_report
from wagtailloft.adapters.server import HttpRequest, HttpResponse, HttpServer
from wagtailloft.clock import now
from wagtailloft.closed_clients import ClosedClients
from wagtailloft.errors import FixSettings
from wagtailloft.fleet.host_watch import HostWatch
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.ports import Store, StoreDown
from wagtailloft.fleet.records import HostRecord, Topic, host_record_name
from wagtailloft.fleet.store_cache import BASE_TOPICS, StoreCache
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.dispatch import Dispatcher
from wagtailloft.groups.evacuation import ColdPace, Evacuations
from wagtailloft.groups.failover import COORDINATOR_KEY, FailoverCoordinator
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.member_gate import MemberGate
from wagtailloft.groups.pace_control import report_pools
from wagtailloft.groups.ports import LinkFactory, PromotionApi
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.relay import Relay
from wagtailloft.groups.route_explanation import RouteExplainer, call_on_loop
from wagtailloft.groups.sample_exchange import SampleExchange
from wagtailloft.host_settings import CallerServer, HostSettings
from wagtailloft.metrics import Metrics
from wagtailloft.models import HostState
from wagtailloft.rates.token_client import TokenClient
from wagtailloft.sessions.admission import Admission
from wagtailloft.sessions.session import Session
from wagtailloft.supervision import EXIT_TASK_FAILED, Supervisor

# Share of the bound on withdrawn keys up to which the cached keys are accepted. The rest covers
# watches of the store that miss changes for up to 1 s.
MAX_AGE_SHARE = 0.66
# Share of the same bound up to which primary assignments are used. It is above the usual age of the
# cache; a failover waits this long for hosts that do not answer.
ASSIGNMENT_MAX_AGE_SHARE = 0.48
READY_MAX_AGE_S = 2.4  # if the cache is older, other hosts serve new callers better
DRAIN_NOTICE_S = 2.2  # the platform stops sending callers after two probes, a second apart
# The platform's drain rule lets open transactions finish within this share of the grace period.
TRANSACTION_GRACE_SHARE = 0.5
# After this share of the grace period, callers whose transactions were ended have had time to learn
# it by their next statement, and open transactions of other hosts' callers end.
REQUEST_GRACE_SHARE = 0.85
# Statements that still run after this share of the grace period are given up. The rest of it is for
# closing links, on a machine that may be busy.
ANSWER_GRACE_SHARE = 0.95
MAINTENANCE_INTERVAL_S = 1.0  # between two checks for links that this host no longer owns
HTTP_THREADS = 2
# Share of the bound on new configurations. What an older cache lacks may exist in the store, so it
# is not reported as unknown.
NOT_FOUND_MAX_AGE_SHARE = 0.66
INCARNATION_RANDOM_RANGE = 1000
RESERVED_FDS = 200  # file descriptors for uses other than sockets
CALLER_FD_SHARE = 0.7  # share of the sockets; the rest is for hosts, targets and the store
PEER_FD_SHARE = 0.1  # share of the sockets for connections that other hosts opened
MIN_PEER_FDS = 32  # of the reserved ones
MAX_PROBE_CONNECTIONS = 16  # to each HTTP port, of the reserved descriptors
MAX_PROBE_BODY_BYTES = 64 << 10  # no probe has a body


class HostProcess:
    """Build the components of one host process, and start and stop them in order."""

    def __init__(
        self,
        *,
        cfg: HostSettings,
        store: Store,
        promotion_api: PromotionApi,
        link_factory: LinkFactory,
        caller_server_factory: Callable[
            [Callable[[str, str, str], Session], int, ClosedClients], CallerServer
        ],
        reload: Callable[[], HostSettings],
        metrics_port: int,
    ) -> None:
        self._cfg = cfg
        self._reload = reload
        self._stopping = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._exit_code = 0
        own = msgspec.structs.replace(cfg.own, incarnation=new_incarnation())
        self.metrics = Metrics()
        self._supervisor = Supervisor(
            count_failure=lambda name: self.metrics.task_failures.labels(name).inc(),
            end_process=self._end_after_failure,
        )
        logs.on_write_failure(partial(self._supervisor.report, "logs"))
        closed_clients = ClosedClients(
            count=lambda port, reason: self.metrics.clients_closed.labels(port, reason).inc()
        )
        socket_fds = max(1, cfg.max_fds - RESERVED_FDS)
        self.mesh = Mesh(
            ip=own.ip,
            port=own.peer_port,
            limits=cfg.clients,
            max_accepted=MIN_PEER_FDS + int(socket_fds * PEER_FD_SHARE),
            closed_clients=closed_clients,
        )
        self.hosts = Hosts(own=own, mesh=self.mesh)
        self.host_watch = HostWatch(hosts=self.hosts, key=COORDINATOR_KEY)
        max_age = cfg.bounds.key_withdrawal * MAX_AGE_SHARE
        self.evacuations = Evacuations(bound=cfg.bounds.evacuation)
        evacuation_topics = (Topic.EVACUATIONS,) if self.evacuations.is_enabled else ()
        self.cache = StoreCache(
            store=store,
            hosts=self.hosts,
            mesh=self.mesh,
            max_age=max_age,
            assignment_max_age=cfg.bounds.key_withdrawal * ASSIGNMENT_MAX_AGE_SHARE,
            topics=BASE_TOPICS + evacuation_topics,
            starts_fleet=cfg.starts_fleet,
            on_new_era=self.metrics.store_eras.inc,
            on_failure=self._supervisor.report,
        )
        self.directory = GroupDirectory(cache=self.cache, member_drain=cfg.bounds.member_drain)
        self.gate = MemberGate(
            cache=self.cache,
            directory=self.directory,
            evacuations=self.evacuations,
            pace=ColdPace(excess=cfg.bounds.cold_excess, slack=cfg.bounds.cold_slack),
            metrics=self.metrics,
        )
        self.local_executor = LocalExecutor(
            directory=self.directory,
            link_factory=link_factory,
            adaptive_pace=cfg.adaptive_pace,
            gate=self.gate,
        )
        self.local_executor.on_turn = lambda priority_class, waited: (
            self.metrics.turn_wait.labels(str(priority_class)).observe(waited)
        )
        self.relay = Relay(hosts=self.hosts, mesh=self.mesh, local_executor=self.local_executor)
        self.dispatcher = Dispatcher(
            directory=self.directory,
            relay=self.relay,
            sample_exchange=SampleExchange(
                hosts=self.hosts, mesh=self.mesh, directory=self.directory, relay=self.relay
            ),
            zone=own.zone,
            metrics=self.metrics,
            gate=self.gate,
        )
        self.local_executor.unresponsive_after = self.dispatcher.unresponsive_after
        self.tokens = TokenClient(hosts=self.hosts, mesh=self.mesh, tolerance=cfg.bounds.tolerance)
        self.admission = Admission(
            cache=self.cache,
            tokens=self.tokens,
            metrics=self.metrics,
            not_found_max_age=cfg.bounds.config_apply * NOT_FOUND_MAX_AGE_SHARE,
        )
        self.route_explainer = RouteExplainer(
            host=own.name,
            admission=self.admission,
            directory=self.directory,
            dispatcher=self.dispatcher,
            local_pools=lambda: self.local_executor.pools,
        )
        self.coordinator = FailoverCoordinator(
            hosts=self.hosts,
            mesh=self.mesh,
            cache=self.cache,
            directory=self.directory,
            local_executor=self.local_executor,
            store=store,
            link_factory=link_factory,
            promotion_api=promotion_api,
            lease=PromotionLease(
                own=own,
                cache=self.cache,
                has_ended=self.hosts.has_ended,
            ),
            count_failover=lambda group, why: self.metrics.failovers.labels(group, why).inc(),
            is_evacuated=self.gate.is_evacuated,
        )
        max_callers = max(1, int(socket_fds * CALLER_FD_SHARE))
        self.caller_server = caller_server_factory(self._open_session, max_callers, closed_clients)
        self._ready_server = HttpServer(
            ip=own.ip,
            port=own.operator_port,
            handler=self._handle_http,
            threads=HTTP_THREADS,
            name="ready",
            supervisor=self._supervisor,
            max_connections=MAX_PROBE_CONNECTIONS,
            max_body_bytes=MAX_PROBE_BODY_BYTES,
            closed_clients=closed_clients,
        )
        self._metrics_server = HttpServer(
            ip=own.ip,
            port=metrics_port,
            handler=self._handle_metrics_http,
            threads=HTTP_THREADS,
            name="metrics",
            supervisor=self._supervisor,
            max_connections=MAX_PROBE_CONNECTIONS,
            max_body_bytes=MAX_PROBE_BODY_BYTES,
            closed_clients=closed_clients,
        )

    async def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a task that fails for good; return the exit code.

        Running requests may finish within the grace period.
        """
        self._loop.set_exception_handler(self._supervisor.handle_loop_exception)
        self._loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.mesh.start()
        await self.caller_server.start()
        self._ready_server.start()
        self._metrics_server.start()
        own = self.hosts.own
        logs.event("started", host=own.name, zone=own.zone, ip=own.ip, process=own.incarnation)
        self.cache.on_change(Topic.FLEET, self.hosts.follow_register)
        self.hosts.on_change.append(self._hosts_changed)
        self._start_tasks()
        await self._stopping.wait()
        await self._stop()
        return self._exit_code

    def _start_tasks(self) -> None:
        start = self._supervisor.start_task
        for topic in self.cache.topics:
            start(f"watch_store_{topic.value}", partial(self.cache.watch_store, topic))
        start("pull_from_peers", self.cache.pull_from_peers)
        start("retry_suspected", self.hosts.retry_suspected)
        start("watch_host", self.host_watch.run)
        start("request_tokens", self.tokens.run)
        start("watch_groups", self.coordinator.watch)
        start("expire_transactions", self.caller_server.expire_transactions)
        if self.evacuations.is_enabled:
            start("end_evacuated", partial(self.gate.run, self.local_executor.end_refused))
        start("close_overdue_hosts", self.mesh.close_overdue)
        start("keep_registered", self._keep_registered)
        start("maintenance", self._run_maintenance)
        join = partial(self.cache.join_through_seeds, self._cfg.seeds)
        start("join_through_seeds", join, may_return=True)

    def _end_after_failure(self) -> None:
        self._exit_code = EXIT_TASK_FAILED
        self._loop.call_soon_threadsafe(self._stopping.set)

    async def _stop(self) -> None:
        began = now()
        grace = self._cfg.bounds.stop_grace
        logs.event("stopping", host=self.hosts.own.name, grace=grace)
        try:
            # Nobody else ends a process that stops by itself.
            async with asyncio.timeout(grace):
                await self._finish_requests(began, grace)
        except Exception as exc:
            self._supervisor.report("stop", exc)
        self._supervisor.stop()
        self.local_executor.close()
        self.mesh.stop()
        self._ready_server.stop()
        self._metrics_server.stop()
        logs.event("stopped", host=self.hosts.own.name, seconds=round(now() - began, 2))

    async def _finish_requests(self, began: float, grace: float) -> None:
        """Let callers leave and running requests finish within the grace period."""
        self.hosts.leave()
        await asyncio.sleep(min(DRAIN_NOTICE_S, grace * TRANSACTION_GRACE_SHARE))
        await self.caller_server.drain(began + grace * TRANSACTION_GRACE_SHARE)
        requests_until = began + grace * REQUEST_GRACE_SHARE
        answer_until = began + grace * ANSWER_GRACE_SHARE
        await self.caller_server.stop(requests_until, answer_until)
        while self.local_executor.active and now() < requests_until:
            await asyncio.sleep(0.02)
        await self.local_executor.stop(answer_until)

    def _open_session(self, name: str, database: str, key: str) -> Session:
        return Session(
            name=name,
            database=database,
            key=key,
            admission=self.admission,
            dispatcher=self.dispatcher,
        )

    def _handle_http(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/metrics":
            return HttpResponse(status=200, body=self.metrics.text(), content_type="text/plain")
        if req.path != "/ready":
            return HttpResponse(status=404, body=b"{}")
        return HttpResponse(status=200 if self._is_ready() else 503, body=b"{}")

    def _handle_metrics_http(self, req: HttpRequest) -> HttpResponse:
        """Handle a request of operators; explanations must not delay the probes of /ready."""
        if req.path != route_report.PATH:
            return self._handle_http(req)
        explain = partial(call_on_loop, self._loop, self.route_explainer.explain)
        status, body = route_report.respond(req.query, explain)
        return HttpResponse(status=status, body=body)

    def _is_ready(self) -> bool:
        if self._stopping.is_set() or self.caller_server.full:
            return False
        if not self.admission.ready or not self.cache.is_registered():
            return False
        if not self.cache.knows_settings() or not self.gate.is_known:
            return False
        # While most hosts can't reach the store, their caches are as old as this one, so other
        # hosts would not serve callers better.
        return self.cache.age() < READY_MAX_AGE_S or self.cache.heard_from_majority()

    def _reload_settings(self) -> None:
        try:
            self._cfg = self._reload()
        except FixSettings as exc:
            logs.warn("reload_refused", why=str(exc))
            return
        logs.event("reloaded", host=self.hosts.own.name)

    async def _keep_registered(self) -> None:
        """Keep this host's registration in the store current, so that other hosts find it."""
        own = self.hosts.own
        name = host_record_name(own.name)
        own_record = msgspec.structs.replace(own, incarnation=0, state=HostState.ALIVE)
        while True:
            await asyncio.sleep(0.1)
            if not self.cache.revision(Topic.FLEET):
                continue
            entry = self.cache.get(Topic.FLEET, name)
            if entry and entry.value == HostRecord(host=own_record):
                await asyncio.sleep(MAINTENANCE_INTERVAL_S)
                continue
            try:
                await self.cache.write(Topic.FLEET, name, HostRecord(host=own_record))
            except StoreDown as exc:
                logs.warn("listing_failed", why=str(exc))
                await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.local_executor.close_stale()
            self._close_unowned_links()
            report_pools(self.local_executor.pools, self.metrics)

    def _hosts_changed(self) -> None:
        try:
            self._close_unowned_links()
        except Exception as exc:  # the maintenance does it again; the host must stay in the list
            self._supervisor.report("close_unowned_links", exc)

    def _close_unowned_links(self) -> None:
        """Close idle links to targets whose links another host owns."""
        self.local_executor.close_unowned(self.relay.is_owned_here)


def new_incarnation() -> int:
    """Return a number that tells this process from earlier ones on the host.

    It usually grows from process to process. The random part keeps two processes apart that start
    at the same reading of a clock that was set back.
    """
    return int(time.time() * 1000) * INCARNATION_RANDOM_RANGE + secrets.randbelow(
        INCARNATION_RANDOM_RANGE
    )
