"""The group owner: one group's members, statements, transactions and failover."""

import random
import threading
import time
from dataclasses import dataclass

from absl import logging
from result import Err, Result

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.board import Blackboard
from wagtailloft.catalog import ANONYMOUS_TEAM, Catalog
from wagtailloft.controllers import failover
from wagtailloft.controllers.failover import Move, Plan
from wagtailloft.controllers.views import NEVER, GroupView
from wagtailloft.decisions import Decisions
from wagtailloft.election import Election
from wagtailloft.errors import Kind, NoResponse, Refusal
from wagtailloft.group_monitor import ControlFactory, GroupMonitor
from wagtailloft.member import MakeLink, MemberAccess
from wagtailloft.metrics import Metrics
from wagtailloft.models import Action, Answer, Call, Group, Member, Team
from wagtailloft.statement_executor import Attempt, StatementExecutor
from wagtailloft.transactions import Transactions

HAND_OVER_LIMIT_S = 3.0
HAND_OVER_LEAST_S = 0.5
IDLE_LIMIT_S = 30.0
HEARTBEAT_S = 0.25
HEARTBEATS_PER_S = 16
SECOND_OWNER_WAIT_S = 1.5


class HeartbeatPace:
    """Slow the heartbeats of one daemon down as the members that it watches grow in number."""

    def __init__(self) -> None:
        self.members = 0

    def __call__(self) -> float:
        """Return how many seconds a heartbeat may wait at a member."""
        return max(HEARTBEAT_S, self.members / HEARTBEATS_PER_S)


@dataclass(frozen=True, kw_only=True)
class OwnerContext:
    """Hold what every group owner of a daemon shares."""

    host: str
    board: Blackboard
    catalog: Catalog
    object_api: ObjectApi
    metrics: Metrics
    decisions: Decisions
    connect: MakeLink
    controls: ControlFactory
    pace: HeartbeatPace


class GroupOwner:
    """Serve one group."""

    def __init__(self, *, group: Group, context: OwnerContext) -> None:
        self.group = group
        self._context = context
        rng = random.Random()
        self.monitor = GroupMonitor(
            group=group, board=context.board, controls=context.controls, pace=context.pace
        )
        self.accesses = {
            m.name: MemberAccess(
                group=group, member=m, connect=context.connect, clock=time.monotonic
            )
            for m in group.members
        }
        self.statement_executor = StatementExecutor(
            monitor=self.monitor,
            accesses=self.accesses,
            catalog=context.catalog,
            metrics=context.metrics,
            decisions=context.decisions,
            rng=rng,
        )
        self.transactions = Transactions(
            host=context.host,
            monitor=self.monitor,
            accesses=self.accesses,
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
        self.used = time.monotonic()
        self.first = False
        self._failed_since = NEVER
        self._leader = ""
        self._leaving_since = NEVER
        self.calls = 0
        self._counting = threading.Lock()
        self._ticking = threading.Lock()

    def start(self) -> None:
        """Start heartbeats."""
        self.monitor.start()

    def change(self, group: Group) -> bool:
        """Take a new description; return False if the members are others than before."""
        if [_place(m) for m in group.members] != [_place(m) for m in self.group.members]:
            return False
        self.group = group
        self.monitor.update_group(group)
        return True

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Serve one call of an entry."""
        with self._counting:
            self.calls += 1
        try:
            return self._serve(call)
        finally:
            with self._counting:
                self.calls -= 1

    def _serve(self, call: Call) -> Result[Answer, Refusal]:
        self.used = time.monotonic()
        if self._cut_off():
            detail = "this host reaches no majority of the members"
            return Err(Refusal(kind=Kind.NO_OWNER, detail=detail))
        attempt = self._attempt(call)
        if call.action is Action.BEGIN:
            return self.transactions.begin(attempt)
        if call.action is Action.COMMIT:
            return self.transactions.commit(attempt)
        if call.action is Action.ROLLBACK:
            return self.transactions.rollback(attempt)
        if call.action is Action.FIND_OUT:
            refusal = Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="nothing is known of it yet")
            return self.statement_executor.look_up(attempt, refusal)
        if call.transaction:
            return self.transactions.run(attempt)
        return self.statement_executor.run(attempt)

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
        for access in self.accesses.values():
            access.close()

    def _cut_off(self) -> bool:
        view = self.monitor.view()
        gone = sum(1 for m in view.members if m.misses >= failover.MISSES_TO_FAIL)
        return len(view.members) - gone < view.majority

    def _attempt(self, call: Call) -> Attempt:
        catalog = self._context.catalog
        team = catalog.find(Team, call.team) or ANONYMOUS_TEAM
        return Attempt(
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
            self.election.repoint_replicas(plan.members)
        elif plan.move is Move.HAND_OVER:
            self._hand_over(plan.why, now)
        self.transactions.sweep(now)
        self._measure()
        self.election.publish()
        for access in self.accesses.values():
            if self.monitor.last_heartbeat_answered(access.member.name):
                access.warm()

    def _elect_in_turn(self, plan: Plan, now: float) -> None:
        """Elect at once as the group's first owner, else only if that one seems not to."""
        if self._failed_since == NEVER:
            self._failed_since = now
        if self.first or now - self._failed_since >= SECOND_OWNER_WAIT_S:
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
            self.accesses[self._leader].pool.cut()
        if self._leaving_since != NEVER and not view.primary.member.leaving:
            self._let_go()
        self._leader = leader

    def _let_go(self) -> None:
        """End the hold on new work: another member leads, or this one stays after all."""
        self._leaving_since = NEVER
        for access in self.accesses.values():
            access.gate.set_paused(False)

    def _hand_over(self, why: str, now: float) -> None:
        """Hold new work; once what runs has ended, the first owner changes the term.

        Every holder of the group holds new work, and the first owner waits a little for the others.
        """
        gate = self.accesses[self._leader].gate
        if self._leaving_since == NEVER:
            self._leaving_since = now
            gate.set_paused(True)
        waited = now - self._leaving_since
        if waited > HAND_OVER_LIMIT_S + SECOND_OWNER_WAIT_S:
            gate.set_paused(False)
        if not self.first or waited < HAND_OVER_LEAST_S:
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
            position = self.monitor.fetch_progress(primary.member.name).received
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
            access = self.accesses[label]
            metrics.queued.labels(name, label).set(access.gate.queued)
            metrics.busy.labels(name, label).set(access.gate.busy)
            metrics.links.labels(name, label).set(access.pool.open)
            if member.progress:
                metrics.lag.labels(name, label).set(head - member.progress.applied.index)


class Owners:
    """Hold the owners of the groups that this daemon serves."""

    def __init__(self, *, context: OwnerContext) -> None:
        self._context = context
        self._lock = threading.Lock()
        self._owners: dict[str, GroupOwner] = {}

    def serve(self, call: Call) -> Result[Answer, Refusal]:
        """Serve a call as the owner of its group, becoming it if need be."""
        owner = self.find(call.group)
        if owner is None:
            return Err(Refusal(kind=Kind.NOT_FOUND, detail="no such group"))
        return owner.serve(call)

    def find(self, name: str) -> GroupOwner | None:
        """Return the owner of a group, made if need be, or None if there is no such group."""
        owner = self._owners.get(name)
        if owner is not None:
            return owner
        group = self._context.catalog.find(Group, name)
        if group is None:
            return None
        with self._lock:
            if name not in self._owners:
                logs.event("group_acquired", group=name)
                owner = GroupOwner(group=group, context=self._context)
                owner.start()
                self._owners[name] = owner
            return self._owners[name]

    def held(self) -> tuple[GroupOwner, ...]:
        """Return the owners that this daemon holds."""
        return tuple(self._owners.values())

    def active(self) -> int:
        """Return how many calls and transactions are under way here."""
        return sum(o.calls + o.transactions.count for o in self.held())

    def change(self, name: str) -> None:
        """Take a group's new description, or let go of a group that is gone."""
        owner = self._owners.get(name)
        if owner is None:
            return
        group = self._context.catalog.find(Group, name)
        if group is None or not owner.change(group):
            self.drop(name)

    def withdraw(self, key_digest: str) -> None:
        """End the transactions of a withdrawn key."""
        for owner in self.held():
            owner.transactions.withdraw(key_digest)

    def tick(self, mine: frozenset[str]) -> None:
        """Hold the groups that are this daemon's, and drop others once they are not used."""
        for name in mine:
            self.find(name)
        self._count()
        for owner in self.held():
            owner.first = owner.group.name in mine
        now = time.monotonic()
        for name, owner in list(self._owners.items()):
            idle = now - owner.used > IDLE_LIMIT_S and owner.transactions.count == 0
            if name not in mine and idle:
                self.drop(name)

    def drop(self, name: str) -> None:
        """Let go of a group."""
        with self._lock:
            owner = self._owners.pop(name, None)
        if owner is not None:
            logs.event("group_released", group=name)
            owner.close()

    def _count(self) -> None:
        self._context.pace.members = sum(len(o.group.members) for o in self.held())

    def close(self) -> None:
        """Let go of all groups."""
        for name in list(self._owners):
            self.drop(name)


def _place(member: Member) -> tuple[str, str, int, int]:
    return member.name, member.ip, member.port, member.control_port
