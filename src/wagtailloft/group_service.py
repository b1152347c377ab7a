"""Service of one database group at its owner: statements, transactions and failover."""

import random
import threading
import time
from dataclasses import dataclass

from result import Err, Result

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.board import Blackboard
from wagtailloft.catalog import ANONYMOUS_TEAM, Catalog
from wagtailloft.controllers import failover
from wagtailloft.controllers.failover import FailoverAction, FailoverPlan
from wagtailloft.controllers.views import NEVER, GroupView
from wagtailloft.decisions import Decisions
from wagtailloft.election import Election
from wagtailloft.errors import Kind, NoResponse, Refusal
from wagtailloft.group_monitor import ControlFactory, GroupMonitor
from wagtailloft.member_endpoint import MemberEndpoint, MemberLinkFactory
from wagtailloft.metrics import Metrics
from wagtailloft.models import Action, Answer, Call, Group, Member, Team
from wagtailloft.statement_executor import CallState, StatementExecutor
from wagtailloft.supervision import Supervisor
from wagtailloft.transactions import Transactions

SWITCHOVER_TIMEOUT_S = 3.0
SWITCHOVER_MIN_HOLD_S = 0.5
IDLE_CLOSE_S = 30.0
MIN_HEARTBEAT_INTERVAL_S = 0.25
MAX_HEARTBEATS_PER_S = 16
BACKUP_OWNER_DELAY_S = 1.5


class HeartbeatInterval:
    """Heartbeat interval of one daemon, longer the more members it monitors.

    It limits the daemon to MAX_HEARTBEATS_PER_S over all members whose positions do not change. A
    replica responds sooner if its position changes; the primary always responds after the interval.
    """

    def __init__(self) -> None:
        self.member_count = 0

    def __call__(self) -> float:
        """Return how long a member may delay its heartbeat response, in seconds."""
        return max(MIN_HEARTBEAT_INTERVAL_S, self.member_count / MAX_HEARTBEATS_PER_S)


@dataclass(frozen=True, kw_only=True)
class GroupServiceContext:
    """Components that all group services of a daemon share."""

    host: str
    board: Blackboard
    catalog: Catalog
    object_api: ObjectApi
    metrics: Metrics
    decisions: Decisions
    connect: MemberLinkFactory
    controls: ControlFactory
    heartbeat_interval: HeartbeatInterval
    supervisor: Supervisor


class GroupService:
    """Executes calls on one group and runs its failovers and switchovers.

    More than one host may serve a group at once; is_preferred_owner is true at the host that
    rendezvous hashing ranks first.
    """

    def __init__(self, *, group: Group, context: GroupServiceContext) -> None:
        self.group = group
        self._context = context
        rng = random.Random()
        self.monitor = GroupMonitor(
            group=group,
            board=context.board,
            controls=context.controls,
            heartbeat_interval=context.heartbeat_interval,
            supervisor=context.supervisor,
        )
        self.endpoints = {
            m.name: MemberEndpoint(
                group=group, member=m, connect=context.connect, clock=time.monotonic
            )
            for m in group.members
        }
        self.statement_executor = StatementExecutor(
            monitor=self.monitor,
            endpoints=self.endpoints,
            catalog=context.catalog,
            metrics=context.metrics,
            decisions=context.decisions,
            rng=rng,
        )
        self.transactions = Transactions(
            host=context.host,
            monitor=self.monitor,
            endpoints=self.endpoints,
            statement_executor=self.statement_executor,
            decisions=context.decisions,
            rng=rng,
        )
        self.election = Election(
            host=context.host,
            monitor=self.monitor,
            controls=context.controls,
            object_api=context.object_api,
            decisions=context.decisions,
            supervisor=context.supervisor,
        )
        self.last_used = time.monotonic()
        self.is_preferred_owner = False
        self._primary_failed_since = NEVER
        self._primary_name = ""
        self._switchover_started_at = NEVER
        self.active_calls = 0
        self._active_calls_lock = threading.Lock()
        self._tick_lock = threading.Lock()

    def start(self) -> None:
        """Start the heartbeats to the members."""
        self.monitor.start()

    def update_description(self, group: Group) -> bool:
        """Apply a changed description.

        Return False if the members, their addresses or their order differ. The caller must then
        close this service, since its links and heartbeats belong to the old members.
        """
        if [_member_address(m) for m in group.members] != [
            _member_address(m) for m in self.group.members
        ]:
            return False
        self.group = group
        self.monitor.update_group(group)
        return True

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Execute one call from an entry, local or at another host."""
        with self._active_calls_lock:
            self.active_calls += 1
        try:
            return self._serve(call)
        finally:
            with self._active_calls_lock:
                self.active_calls -= 1

    def _serve(self, call: Call) -> Result[Answer, Refusal]:
        self.last_used = time.monotonic()
        if self.lost_member_majority():
            detail = "the owner cannot reach a majority of the group's members"
            return Err(Refusal(kind=Kind.NO_OWNER, detail=detail))
        state = self._call_state(call)
        if call.action is Action.BEGIN:
            return self.transactions.begin(state)
        if call.action is Action.COMMIT:
            return self.transactions.commit(state)
        if call.action is Action.ROLLBACK:
            return self.transactions.rollback(state)
        if call.action is Action.RESOLVE_OUTCOME:
            refusal = Refusal(
                kind=Kind.OUTCOME_UNKNOWN, detail="the request's outcome is not known yet"
            )
            return self.statement_executor.resolve_outcome(state, refusal)
        if call.transaction:
            return self.transactions.run(state)
        return self.statement_executor.run(state)

    def tick(self) -> None:
        """Run one round of maintenance, unless the previous round is still running.

        It starts failovers and switchovers, rolls back expired transactions, updates the metrics
        and opens links ahead of need.
        """
        if not self._tick_lock.acquire(blocking=False):
            return
        try:
            self._tick()
        except Exception as exc:
            self._context.supervisor.report("tick_group", exc, group=self.group.name)
        finally:
            self._tick_lock.release()

    def close(self) -> None:
        """Roll back open transactions, stop the heartbeats and close idle links."""
        self.transactions.close()
        self.monitor.stop()
        for endpoint in self.endpoints.values():
            endpoint.close()

    def lost_member_majority(self) -> bool:
        """Tell whether this host reaches no majority of the members, so that it serves no calls."""
        view = self.monitor.view()
        unreachable_count = sum(
            1 for m in view.members if m.missed_heartbeats >= failover.FAILED_AFTER_MISSES
        )
        return len(view.members) - unreachable_count < view.majority

    def _call_state(self, call: Call) -> CallState:
        catalog = self._context.catalog
        team = catalog.find(Team, call.team) or ANONYMOUS_TEAM
        return CallState(
            call=call,
            options=catalog.options(call.route, call.group),
            deadline=time.monotonic() + call.budget,
            weight=max(0.001, team.weight),
        )

    def _tick(self) -> None:
        now = time.monotonic()
        view = self.monitor.view()
        self._handle_primary_change(view)
        self._end_overdue_hold(now)
        plan = failover.next_action(view, now)
        if plan.action is FailoverAction.ELECT:
            self._elect_by_preference(plan, now)
        elif plan.action is FailoverAction.REPOINT_REPLICAS:
            self.election.repoint_replicas(plan.members)
        elif plan.action is FailoverAction.SWITCH_OVER:
            self._switch_over(plan.why, now)
        self.transactions.roll_back_expired(now)
        self._update_metrics()
        self.election.publish()
        for endpoint in self.endpoints.values():
            if self.monitor.last_heartbeat_answered(endpoint.member.name):
                endpoint.preconnect()

    def _elect_by_preference(self, plan: FailoverPlan, now: float) -> None:
        """Start an election, at a backup owner only after a delay.

        The delay lets the preferred owner elect first; a backup owner acts only if the group has
        had no primary that is reachable and serves a majority since then.
        """
        if self._primary_failed_since == NEVER:
            self._primary_failed_since = now
        if self.is_preferred_owner or now - self._primary_failed_since >= BACKUP_OWNER_DELAY_S:
            self._elect(plan.why, plan.avoid)

    def _elect(self, why: str, avoid: tuple[str, ...] = ()) -> None:
        self._context.metrics.failovers.labels(self.group.name, why).inc()
        options = self._context.catalog.options("", self.group.name)
        self.election.run(why, options.claim_alone, avoid)

    def _handle_primary_change(self, view: GroupView) -> None:
        """React to a new primary, or to a primary that is no longer leaving.

        Calls that still wait for a response of the replaced primary are aborted. Gates that a
        switchover paused are resumed.
        """
        if view.primary is None:
            return
        if view.primary.reachable and not failover.primary_failed(view):
            self._primary_failed_since = NEVER
        name = view.primary.member.name
        if self._primary_name and self._primary_name != name:
            self.endpoints[self._primary_name].pool.abort_acquired()
        if self._switchover_started_at != NEVER and not view.primary.member.leaving:
            self._resume_gates()
        self._primary_name = name

    def _resume_gates(self) -> None:
        """Admit requests again after a switchover completed or was called off."""
        self._switchover_started_at = NEVER
        for endpoint in self.endpoints.values():
            endpoint.gate.set_paused(False)

    def _end_overdue_hold(self, now: float) -> None:
        """Admit requests again if the preferred owner has not elected within the timeout.

        That holds whatever the group needs by then, since its election may never come.
        """
        if self._switchover_started_at == NEVER:
            return
        if now - self._switchover_started_at > SWITCHOVER_TIMEOUT_S + BACKUP_OWNER_DELAY_S:
            for endpoint in self.endpoints.values():
                endpoint.gate.set_paused(False)

    def _switch_over(self, why: str, now: float) -> None:
        """Move the primary role to another member without interrupting running requests.

        Every host that serves the group pauses its gate to the primary. The preferred owner elects
        a new primary once its own requests and transactions have ended and a replica has caught
        up, or after SWITCHOVER_TIMEOUT_S. It waits at least SWITCHOVER_MIN_HOLD_S, so that the
        other hosts have paused their gates too.
        """
        gate = self.endpoints[self._primary_name].gate
        if self._switchover_started_at == NEVER:
            self._switchover_started_at = now
            gate.set_paused(True)
        waited = now - self._switchover_started_at
        if not self.is_preferred_owner or waited < SWITCHOVER_MIN_HOLD_S:
            return
        ready = gate.busy == 0 and self.transactions.count == 0 and self._replica_caught_up()
        if ready or waited >= SWITCHOVER_TIMEOUT_S:
            self._elect(why, (self._primary_name,))

    def _replica_caught_up(self) -> bool:
        view = self.monitor.view()
        primary = view.primary
        if primary is None:
            return False
        try:
            position = self.monitor.fetch_progress(primary.member.name).received
        except NoResponse:
            return False
        return any(
            m.progress.received == position and not m.member.leaving for m in view.reachable()
        )

    def _update_metrics(self) -> None:
        metrics, name = self._context.metrics, self.group.name
        view = self.monitor.view()
        metrics.term.labels(name).set(view.term)
        head = max((m.progress.received.index for m in view.members if m.progress), default=0)
        for member in view.members:
            label = member.member.name
            endpoint = self.endpoints[label]
            metrics.queued.labels(name, label).set(endpoint.gate.queued)
            metrics.busy.labels(name, label).set(endpoint.gate.busy)
            metrics.links.labels(name, label).set(endpoint.pool.open_count)
            if member.progress:
                metrics.lag.labels(name, label).set(head - member.progress.applied.index)


class GroupServices:
    """The open group services of a daemon, by group name."""

    def __init__(self, *, context: GroupServiceContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._services: dict[str, GroupService] = {}
        self._is_stopping = False

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Execute a call on its group, opening the group's service if it is not open yet."""
        service = self.get_or_create(call.group)
        if service is None:
            return Err(Refusal(kind=Kind.NOT_FOUND, detail="no such group"))
        return service.serve(call)

    def get_or_create(self, name: str) -> GroupService | None:
        """Return the service of a group, opening it if needed; None if the group does not exist."""
        service = self._services.get(name)
        if service is not None:
            return service
        group = self._context.catalog.find(Group, name)
        if group is None:
            return None
        with self._lock:
            if name not in self._services:
                logs.event("group_opened", group=name)
                service = GroupService(group=group, context=self._context)
                service.start()
                if self._is_stopping:
                    service.transactions.stop()
                self._services[name] = service
            return self._services[name]

    def open_groups(self) -> tuple[GroupService, ...]:
        """Return the group services that are open at this daemon."""
        return tuple(self._services.values())

    def active_count(self) -> int:
        """Return the number of running calls and open transactions at this daemon."""
        return sum(s.active_calls + s.transactions.count for s in self.open_groups())

    def reload(self, name: str) -> None:
        """Apply a group's changed description.

        Close the group if it was removed or its members changed.
        """
        service = self._services.get(name)
        if service is None:
            return
        group = self._context.catalog.find(Group, name)
        if group is None or not service.update_description(group):
            self.close_group(name)

    def stop_transactions(self) -> None:
        """End open transactions once their running statements have ended, and begin none."""
        with self._lock:
            self._is_stopping = True
        for service in self.open_groups():
            service.transactions.stop()

    def withdraw_key(self, key_digest: str) -> None:
        """Roll back the transactions of a withdrawn key."""
        for service in self.open_groups():
            service.transactions.withdraw_key(key_digest)

    def tick(self, preferred: frozenset[str]) -> None:
        """Open the groups that this daemon is the preferred owner of; close idle others."""
        for name in preferred:
            self.get_or_create(name)
        self._update_heartbeat_interval()
        for service in self.open_groups():
            service.is_preferred_owner = service.group.name in preferred
        now = time.monotonic()
        for name, service in list(self._services.items()):
            idle = now - service.last_used > IDLE_CLOSE_S and service.transactions.count == 0
            if name not in preferred and idle:
                self.close_group(name)

    def close_group(self, name: str) -> None:
        """Close the service of a group, if it is open."""
        with self._lock:
            service = self._services.pop(name, None)
        if service is not None:
            logs.event("group_closed", group=name)
            service.close()

    def _update_heartbeat_interval(self) -> None:
        self._context.heartbeat_interval.member_count = sum(
            len(s.group.members) for s in self.open_groups()
        )

    def close(self) -> None:
        """Close all group services."""
        for name in list(self._services):
            self.close_group(name)


def _member_address(member: Member) -> tuple[str, str, int, int]:
    return member.name, member.ip, member.port, member.control_port
