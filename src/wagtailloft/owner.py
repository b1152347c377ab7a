"""The group service: one group's members, statements, transactions and failover."""

import random
import threading
import time
from dataclasses import dataclass

from absl import logging
from result import Err, Result

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.board import Blackboard
from wagtailloft.catalog import OPEN_TEAM, Catalog
from wagtailloft.controllers import failover
from wagtailloft.controllers.failover import Move, Plan
from wagtailloft.controllers.views import NEVER, GroupView
from wagtailloft.decisions import Decisions
from wagtailloft.election import Election
from wagtailloft.errors import Kind, NoResponse, Refusal
from wagtailloft.group_monitor import GroupMonitor, MakeControl
from wagtailloft.member import MemberEndpoint, MemberLinkFactory
from wagtailloft.metrics import Metrics
from wagtailloft.models import Action, Answer, Call, Group, Member, Team
from wagtailloft.statement_executor import CallState, StatementExecutor
from wagtailloft.transactions import Transactions

HAND_OVER_LIMIT_S = 3.0
HAND_OVER_LEAST_S = 0.5
IDLE_LIMIT_S = 30.0
HEARTBEAT_S = 0.25
HEARTBEATS_PER_S = 16
SECOND_OWNER_WAIT_S = 1.5


class HeartbeatInterval:
    """Slow the heartbeats of one daemon down as the members that it watches grow in number."""

    def __init__(self) -> None:
        self.member_count = 0

    def __call__(self) -> float:
        """Return how many seconds a heartbeat may wait at a member."""
        return max(HEARTBEAT_S, self.member_count / HEARTBEATS_PER_S)


@dataclass(frozen=True, kw_only=True)
class OwnerContext:
    """Hold what every group service of a daemon shares."""

    host: str
    board: Blackboard
    catalog: Catalog
    object_api: ObjectApi
    metrics: Metrics
    decisions: Decisions
    connect: MemberLinkFactory
    controls: MakeControl
    heartbeat_interval: HeartbeatInterval


class GroupService:
    """Serve one group."""

    def __init__(self, *, group: Group, context: OwnerContext) -> None:
        self.group = group
        self._context = context
        rng = random.Random()
        self.monitor = GroupMonitor(
            group=group,
            board=context.board,
            controls=context.controls,
            pace=context.heartbeat_interval,
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
        )
        self.last_used = time.monotonic()
        self.is_preferred_owner = False
        self._failed_since = NEVER
        self._leader = ""
        self._leaving_since = NEVER
        self.active_calls = 0
        self._counting = threading.Lock()
        self._ticking = threading.Lock()

    def start(self) -> None:
        """Start heartbeats."""
        self.monitor.start()

    def update_description(self, group: Group) -> bool:
        """Take a new description; return False if the members are others than before."""
        if [_place(m) for m in group.members] != [_place(m) for m in self.group.members]:
            return False
        self.group = group
        self.monitor.change(group)
        return True

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Serve one call of an entry."""
        with self._counting:
            self.active_calls += 1
        try:
            return self._serve(call)
        finally:
            with self._counting:
                self.active_calls -= 1

    def _serve(self, call: Call) -> Result[Answer, Refusal]:
        self.last_used = time.monotonic()
        if self._cut_off():
            detail = "this host reaches no majority of the members"
            return Err(Refusal(kind=Kind.NO_OWNER, detail=detail))
        state = self._call_state(call)
        if call.action is Action.BEGIN:
            return self.transactions.begin(state)
        if call.action is Action.COMMIT:
            return self.transactions.commit(state)
        if call.action is Action.ROLLBACK:
            return self.transactions.rollback(state)
        if call.action is Action.FIND_OUT:
            refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="nothing is known of it yet")
            return self.statement_executor.resolve_outcome(state, refusal)
        if call.transaction:
            return self.transactions.run(state)
        return self.statement_executor.run(state)

    def tick(self) -> None:
        """Do what the group needs now."""
        if not self._ticking.acquire(blocking=False):
            return
        try:
            self._tick()
        except Exception:
            logging.exception("event=tick_failed group=%s", self.group.name)
        finally:
            self._ticking.release()

    def close(self) -> None:
        """Roll back what is open and let go of the members."""
        self.transactions.close()
        self.monitor.stop()
        for endpoint in self.endpoints.values():
            endpoint.close()

    def _cut_off(self) -> bool:
        view = self.monitor.view()
        gone = sum(1 for m in view.members if m.misses >= failover.MISSES_TO_FAIL)
        return len(view.members) - gone < view.majority

    def _call_state(self, call: Call) -> CallState:
        catalog = self._context.catalog
        team = catalog.find(Team, call.team) or OPEN_TEAM
        return CallState(
            call=call,
            options=catalog.options(call.route, call.group),
            deadline=time.monotonic() + call.budget,
            weight=max(0.001, team.weight),
        )

    def _tick(self) -> None:
        now = time.monotonic()
        view = self.monitor.view()
        self._cut_replaced(view)
        plan = failover.plan(view, now)
        if plan.move is Move.ELECT:
            self._elect_in_turn(plan, now)
        elif plan.move is Move.FOLLOW:
            self.election.follow(plan.members)
        elif plan.move is Move.HAND_OVER:
            self._hand_over(plan.why, now)
        self.transactions.sweep(now)
        self._measure()
        self.election.publish()
        for endpoint in self.endpoints.values():
            if self.monitor.reaches(endpoint.member.name):
                endpoint.preconnect()

    def _elect_in_turn(self, plan: Plan, now: float) -> None:
        """Elect at once as the group's first owner, else only if that one seems not to."""
        if self._failed_since == NEVER:
            self._failed_since = now
        if self.is_preferred_owner or now - self._failed_since >= SECOND_OWNER_WAIT_S:
            self._elect(plan.why, plan.avoid)

    def _elect(self, why: str, avoid: tuple[str, ...] = ()) -> None:
        self._context.metrics.elections.labels(self.group.name, why).inc()
        options = self._context.catalog.options("", self.group.name)
        self.election.run(why, options.claim_alone, avoid)

    def _cut_replaced(self, view: GroupView) -> None:
        """Break the calls that still wait on a primary that has been replaced."""
        if view.primary is None:
            return
        self._failed_since = NEVER if view.primary.reachable else self._failed_since
        leader = view.primary.member.name
        if self._leader and self._leader != leader:
            self.endpoints[self._leader].pool.abort_lent()
        if self._leaving_since != NEVER and not view.primary.member.leaving:
            self._let_go()
        self._leader = leader

    def _let_go(self) -> None:
        """End the hold on new work: another member leads, or this one stays after all."""
        self._leaving_since = NEVER
        for endpoint in self.endpoints.values():
            endpoint.gate.pause(False)

    def _hand_over(self, why: str, now: float) -> None:
        """Hold new work; once what runs has ended, the first owner changes the term.

        Every holder of the group holds new work, and the first owner waits a little for the others.
        """
        gate = self.endpoints[self._leader].gate
        if self._leaving_since == NEVER:
            self._leaving_since = now
            gate.pause(True)
        waited = now - self._leaving_since
        if waited > HAND_OVER_LIMIT_S + SECOND_OWNER_WAIT_S:
            gate.pause(False)
        if not self.is_preferred_owner or waited < HAND_OVER_LEAST_S:
            return
        settled = gate.busy == 0 and self.transactions.count == 0 and self._level()
        if settled or waited >= HAND_OVER_LIMIT_S:
            self._elect(why, (self._leader,))

    def _level(self) -> bool:
        view = self.monitor.view()
        primary = view.primary
        if primary is None:
            return False
        try:
            position = self.monitor.ask(primary.member.name).received
        except NoResponse:
            return False
        return any(
            m.progress.received == position and not m.member.leaving for m in view.reachable()
        )

    def _measure(self) -> None:
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
    """Hold the owners of the groups that this daemon serves."""

    def __init__(self, *, context: OwnerContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._services: dict[str, GroupService] = {}

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Serve a call as the service of its group, becoming it if need be."""
        service = self.get_or_create(call.group)
        if service is None:
            return Err(Refusal(kind=Kind.NOT_FOUND, detail="no such group"))
        return service.serve(call)

    def get_or_create(self, name: str) -> GroupService | None:
        """Return the service of a group, made if need be, or None if there is no such group."""
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
                self._services[name] = service
            return self._services[name]

    def open_groups(self) -> tuple[GroupService, ...]:
        """Return the owners that this daemon holds."""
        return tuple(self._services.values())

    def active_count(self) -> int:
        """Return how many calls and transactions are under way here."""
        return sum(s.active_calls + s.transactions.count for s in self.open_groups())

    def reload(self, name: str) -> None:
        """Take a group's new description, or let go of a group that is gone."""
        service = self._services.get(name)
        if service is None:
            return
        group = self._context.catalog.find(Group, name)
        if group is None or not service.update_description(group):
            self.close_group(name)

    def revoke_key(self, key_digest: str) -> None:
        """End the transactions of a withdrawn key."""
        for service in self.open_groups():
            service.transactions.revoke_key(key_digest)

    def tick(self, preferred: frozenset[str]) -> None:
        """Hold the groups that are this daemon's, and drop others once they are not used."""
        for name in preferred:
            self.get_or_create(name)
        self._count()
        for service in self.open_groups():
            service.is_preferred_owner = service.group.name in preferred
        now = time.monotonic()
        for name, service in list(self._services.items()):
            idle = now - service.last_used > IDLE_LIMIT_S and service.transactions.count == 0
            if name not in preferred and idle:
                self.close_group(name)

    def close_group(self, name: str) -> None:
        """Let go of a group."""
        with self._lock:
            service = self._services.pop(name, None)
        if service is not None:
            logs.event("group_closed", group=name)
            service.close()

    def _count(self) -> None:
        self._context.heartbeat_interval.member_count = sum(
            len(s.group.members) for s in self.open_groups()
        )

    def close(self) -> None:
        """Let go of all groups."""
        for name in list(self._services):
            self.close_group(name)


def _place(member: Member) -> tuple[str, str, int, int]:
    return member.name, member.ip, member.port, member.control_port
