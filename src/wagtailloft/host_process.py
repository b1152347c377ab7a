"""One process of the fleet on a platform that brings its own store, registry and promotion."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

import msgspec

from wagtailloft import logs
from wagtailloft.adapters.server import HttpRequest, HttpResponse, HttpServer
from wagtailloft.clock import now
from wagtailloft.errors import FixSettings
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh
from wagtailloft.fleet.ports import Store, StoreDown
from wagtailloft.fleet.records import (
    HOST_RECORD_PREFIX,
    Entry,
    HostRecord,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.dispatch import Dispatcher
from wagtailloft.groups.failover import FailoverCoordinator
from wagtailloft.groups.local_executor import LocalExecutor
from wagtailloft.groups.ports import LinkFactory, PromotionApi
from wagtailloft.groups.promotion_lease import PromotionLease
from wagtailloft.groups.relay import Relay
from wagtailloft.metrics import Metrics
from wagtailloft.models import Host, HostState, Record
from wagtailloft.rates.token_client import TokenClient
from wagtailloft.rates.token_pool import Tolerance
from wagtailloft.sessions.admission import Admission
from wagtailloft.sessions.session import Session

FRESH_SHARE = 0.66  # of the bound on withdrawn keys; the rest covers 1 s of deaf watches
# Of the same bound: above a usual age; waited out for hosts that are silent.
ASSIGNMENT_SHARE = 0.48
READY_AGE_S = 2.4  # older, new callers are better served by other hosts
NOTICE_S = 2.2  # two probes, a second apart, until the platform sends no new callers
TRANSACTION_SHARE = 0.5  # of the grace at a stop: open transactions may end; RULES.md, DRAIN
END_SHARE = 0.85  # of the grace at a stop: all that runs has ended by then
TIDY_S = 1.0  # looks at links that are no longer this host's
HTTP_THREADS = 2
ABSENT_SHARE = 0.66  # of the bound on new configurations; what an older copy lacks may exist
FILES = 200  # descriptors that are not sockets; DEPLOY.md, "Machines"
CALLER_SHARE = 0.7  # of the sockets; the rest is for hosts, targets and the store


class Bounds(Record):
    """Hold the deployment's bounds, in seconds."""

    revoke: float
    apply: float
    grace: float
    tolerance: Tolerance


class HostSettings(Record):
    """Hold the settings of one process."""

    own: Host
    store: str
    orders: str
    bounds: Bounds
    seeds: tuple[str, ...] = ()
    max_fds: int = 1024


class CallerServer(Protocol):
    """Serve callers' connections."""

    @property
    def full(self) -> bool:
        """Tell whether no descriptor is left for another caller."""

    async def start(self) -> None:
        """Accept callers."""

    async def drain(self, until: float) -> None:
        """Close sessions between their requests."""

    async def stop(self, until: float) -> None:
        """End what is left."""


class HostProcess:
    """Hold the parts of one process, and start and stop them in order."""

    def __init__(
        self,
        *,
        cfg: HostSettings,
        store: Store,
        promotion_api: PromotionApi,
        link_factory: LinkFactory,
        front: Callable[[Callable[[str, str, str], Session], int], CallerServer],
        reload: Callable[[], HostSettings],
        metrics_port: int,
    ) -> None:
        self._cfg = cfg
        self._reload = reload
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        own = msgspec.structs.replace(cfg.own, incarnation=int(now() * 1000))
        self.metrics = Metrics()
        self.mesh = Mesh(ip=own.ip, port=own.peer_port)
        self.hosts = Hosts(own=own, mesh=self.mesh)
        max_age = cfg.bounds.revoke * FRESH_SHARE
        self.cache = StoreCache(
            store=store,
            hosts=self.hosts,
            mesh=self.mesh,
            max_age=max_age,
            assignment_max_age=cfg.bounds.revoke * ASSIGNMENT_SHARE,
        )
        self.directory = GroupDirectory(cache=self.cache)
        self.local_executor = LocalExecutor(directory=self.directory, link_factory=link_factory)
        self.relay = Relay(hosts=self.hosts, mesh=self.mesh, local_executor=self.local_executor)
        self.dispatcher = Dispatcher(
            directory=self.directory, relay=self.relay, zone=own.zone, metrics=self.metrics
        )
        self.tokens = TokenClient(hosts=self.hosts, mesh=self.mesh, tolerance=cfg.bounds.tolerance)
        self.admission = Admission(
            cache=self.cache,
            tokens=self.tokens,
            metrics=self.metrics,
            not_found_max_age=cfg.bounds.apply * ABSENT_SHARE,
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
            count_failover=lambda group, why: self.metrics.elections.labels(group, why).inc(),
        )
        callers = max(1, int((cfg.max_fds - FILES) * CALLER_SHARE))
        self.front = front(self._open_session, callers)
        self._ready_server = HttpServer(
            ip=own.ip,
            port=own.operator_port,
            handler=self._answer,
            threads=HTTP_THREADS,
            name="ready",
        )
        self._metrics_server = HttpServer(
            ip=own.ip,
            port=metrics_port,
            handler=self._answer,
            threads=HTTP_THREADS,
            name="metrics",
        )

    async def run(self) -> None:
        """Serve until told to stop, then stop without cutting a request."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        await self.mesh.start()
        await self.front.start()
        self._ready_server.start()
        self._metrics_server.start()
        own = self.hosts.own
        logs.event("started", host=own.name, zone=own.zone, ip=own.ip, process=own.incarnation)
        self.cache.on_change(Topic.FLEET, self._fleet_changed)
        self.hosts.on_change.append(self._hand_on_links)
        for topic in Topic:
            self._start(self.cache.watch_store(topic))
        self._start(self.cache.pull_from_peers())
        self._start(self.hosts.retry_suspected())
        self._start(self.tokens.run())
        self._start(self.coordinator.watch())
        self._start(self._list_itself())
        self._start(self._tidy())
        for ip in self._cfg.seeds:
            if ip != own.ip:
                self._start(self.hosts.join_through_seed(ip))
        await self._stopping.wait()
        await self._stop()

    async def _stop(self) -> None:
        began = now()
        grace = self._cfg.bounds.grace
        logs.event("stopping", host=self.hosts.own.name, grace=grace)
        self.hosts.leave()
        await asyncio.sleep(min(NOTICE_S, grace * TRANSACTION_SHARE))
        await self.front.drain(began + grace * TRANSACTION_SHARE)
        await self.front.stop(began + grace * END_SHARE)
        while self.local_executor.active and now() < began + grace * END_SHARE:
            await asyncio.sleep(0.02)
        for task in self._tasks:
            task.cancel()
        self.local_executor.close()
        self.mesh.stop()
        self._ready_server.stop()
        self._metrics_server.stop()
        logs.event("stopped", host=self.hosts.own.name, seconds=round(now() - began, 2))

    def _start(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        task.add_done_callback(_report_failure)

    def _open_session(self, name: str, database: str, key: str) -> Session:
        return Session(
            name=name,
            database=database,
            key=key,
            admission=self.admission,
            dispatcher=self.dispatcher,
        )

    def _answer(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/metrics":
            return HttpResponse(status=200, body=self.metrics.text(), content_type="text/plain")
        if req.path != "/ready":
            return HttpResponse(status=404, body=b"{}")
        return HttpResponse(status=200 if self._is_ready() else 503, body=b"{}")

    def _is_ready(self) -> bool:
        if self._stopping.is_set() or self.front.full:
            return False
        if not self.admission.ready or not self.cache.is_registered():
            return False
        # While the store is away from most hosts, callers are not better served elsewhere.
        return self.cache.age() < READY_AGE_S or self.cache.heard_from_majority()

    def _reload_settings(self) -> None:
        try:
            self._cfg = self._reload()
        except FixSettings as exc:
            logs.warn("reload_refused", why=str(exc))
            return
        logs.event("reloaded", host=self.hosts.own.name)

    def _fleet_changed(self, entry: Entry) -> None:
        if entry.value is None and entry.name.startswith(HOST_RECORD_PREFIX):
            self.hosts.remove(entry.name.removeprefix(HOST_RECORD_PREFIX))

    async def _list_itself(self) -> None:
        """Keep this host listed in the store, so that others find it."""
        own = self.hosts.own
        name = host_record_name(own.name)
        listed = msgspec.structs.replace(own, incarnation=0, state=HostState.ALIVE)
        while True:
            await asyncio.sleep(0.1)
            if not self.cache.revision(Topic.FLEET):
                continue
            entry = self.cache.get(Topic.FLEET, name)
            if entry and isinstance(entry.value, HostRecord) and entry.value.host == listed:
                await asyncio.sleep(TIDY_S)
                continue
            try:
                await self.cache.write(Topic.FLEET, name, HostRecord(host=listed))
            except StoreDown as exc:
                logs.warn("listing_failed", why=str(exc))
                await asyncio.sleep(TIDY_S)

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            self.local_executor.close_stale()
            self._hand_on_links()

    def _hand_on_links(self) -> None:
        """Close idle links to targets whose links another host holds now."""
        self.local_executor.close_unowned(self.relay.is_owned_here)


def _report_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        logs.warn("task_failed", task=task.get_coro().__qualname__, why=repr(exc))
