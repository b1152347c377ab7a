"""A model of hosts that fail over a group whose promotions take time, in virtual time.

The hosts' caches, leases, fences and failovers are real; the members, the platform's promotion API
and the store are models.
"""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch

from features import restored_store
from features.fake_mesh import make_host
from features.model_process import Process, ProcessLoop
from features.restored_store import (
    CALL_S,
    GROUP,
    MEMBERS,
    ZONES,
    ModelFleet,
    ModelHost,
    ModelMesh,
    StoreClient,
)
from wagtailloft import clock
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.ports import Conflict, EraChanged, StoreDown
from wagtailloft.fleet.records import (
    PROMOTION_LEASE_OBJECT,
    HostRecord,
    Target,
    Topic,
    host_record_name,
)
from wagtailloft.groups.claims import CLAIM_TIMEOUT_S
from wagtailloft.groups.failover import PRIMARY_MISSING_S, FailoverCoordinator
from wagtailloft.groups.member_promotion import CATCH_UP_LIMIT_S, PROMOTION_TIMEOUT_S
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.groups.promotion_lease import TAKEOVER_WAIT_S
from wagtailloft.groups.promotion_orders import ORDER_WINDOW_S, UNANSWERED_ORDER_S
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX
from wagtailloft.models import Position, Role
from wagtailloft.revisions import era_of, number_of

PROMOTION_S = 1.0  # from an order until it takes effect
ORDER_TIMEOUT_S = 0.8  # of a host that waits for the answer to an order
MAX_ORDER_DELAY_S = 6.0  # the user time-out of an order's socket, and a slow platform
LOST = None  # the delay of an order that never arrives
LATE_WRITE_S = 3.0
CONNECT_TIMEOUT_S = 0.2
ENTRY_EXPIRY_S = 3.6  # of a dark member
SUSPECT_S = 0.2
SELF_DEMOTION_S = 1.0  # of an old primary that reaches the new one
REGISTER_INTERVAL_S = 0.5
MEMBER_INTERVAL_S = 0.2  # between two looks of the members at their entries
ORDER_WAIT_S = ORDER_WINDOW_S + UNANSWERED_ORDER_S
FENCE_S = 12.7  # of a host that does not answer
# All after one another: an entry is missed, the claim of a process that ended is given up, the
# lease is taken, the fence, a candidate, an unanswered order, and a promotion.
AGREE_S = (
    PRIMARY_MISSING_S
    + CLAIM_TIMEOUT_S
    + TAKEOVER_WAIT_S
    + FENCE_S
    + CATCH_UP_LIMIT_S
    + ORDER_WAIT_S
    + PROMOTION_TIMEOUT_S
)
QUIET_S = 5  # of a fleet that agrees
STEPS_OF_FAILOVERS = ("write", "written", "order", "ordered", "query", "answered")
# After each but "order" the process looks again whether it may act. One that freezes between that
# look and the order sends it however late; only the platform could refuse it.
CHECKED_STEPS = tuple(s for s in STEPS_OF_FAILOVERS if s != "order")


@dataclass(kw_only=True)
class ModelMember:
    """A member; a dark one reaches nobody, one that is cut off reaches all but the hosts.

    One that is split off reaches the hosts, but no other member.
    """

    name: str
    role: Role = Role.REPLICA
    term: int = 1
    index: int = 7
    awaited_term: int = 0
    dark: bool = False
    cut: bool = False
    split: bool = False
    leaving: bool = False
    dark_since: float = 0.0
    dark_until: float = 0.0
    cut_until: float = 0.0
    leaving_until: float = 0.0
    split_until: float = 0.0

    def status(self):
        """Return the member's status."""
        position = Position(term=self.term, index=self.index)
        return TargetStatus(
            target=self.name,
            role=self.role,
            term=self.term,
            received=position,
            awaited_term=self.awaited_term,
        )


@dataclass(kw_only=True, eq=False)
class Order:
    """An order that a host has sent."""

    target: str
    process: str
    token: int
    may_take_effect: bool = True


@dataclass(kw_only=True)
class StepFault:
    """The end of the process that is the count-th to take a step, or of all; or their freeze.

    After `seconds`, the next process starts, or the frozen one goes on.
    """

    step: str
    count: int
    seconds: float
    all_hosts: bool
    freezes: bool = False


class ModelLink:
    """A host's link to a member."""

    def __init__(self, *, host, member):
        """Open a link."""
        self._host, self._fleet, self._member = host, host.fleet, member

    async def status(self, timeout):
        """Return the member's status."""
        return await self._call(timeout, lambda: None)

    async def pause(self, term, timeout):
        """Stop a replica from receiving until a term."""
        return await self._call(timeout, lambda: setattr(self._member, "awaited_term", term))

    async def resume(self, timeout):
        """Let a replica receive again."""
        return await self._call(timeout, lambda: setattr(self._member, "awaited_term", 0))

    async def demote(self, term, timeout):
        """Make a primary of a lower term a replica."""

        def demote():
            if self._member.role is Role.PRIMARY and self._member.term < term:
                self._fleet.demote(self._member, term)

        return await self._call(timeout, demote)

    def close(self):
        """Close the link."""

    async def _call(self, timeout, action):
        await self._fleet.pass_step(self._host, "query")
        await asyncio.sleep(CALL_S)
        if self._member.dark or self._member.cut:
            await asyncio.sleep(timeout)
            raise NoResponse("no answer")
        action()
        status = self._member.status()
        await self._fleet.pass_step(self._host, "answered")
        return status


class ModelLinks:
    """Open the links of one process of a host."""

    def __init__(self, *, host):
        """Open links to the members of a host's fleet."""
        self._host = host

    async def open(self, spec):
        """Open a link; raise NotSent if the member can't be reached."""
        member = self._host.fleet.members[spec.target]
        if member.dark or member.cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NotSent("connect timed out")
        await asyncio.sleep(CALL_S)
        return ModelLink(host=self._host, member=member)


class OrderClient:
    """One host's access to the promotion API."""

    def __init__(self, *, host):
        """Let a host order promotions."""
        self._host, self._fleet = host, host.fleet

    async def promote(self, *, group, target, holder, fencing_token):
        """Order a promotion; return whether it was accepted, None if no answer came."""
        fleet, loop = self._fleet, asyncio.get_running_loop()
        await fleet.pass_step(self._host, "order")
        faults = fleet.order_faults
        fleet.last_ordered = target
        delay, is_answered = faults.pop(0) if faults else (0.0, True)
        process = self._host.hosts.own.process_name
        answer = loop.create_future()
        if delay is not LOST:
            order = Order(target=target, process=process, token=fencing_token)
            fleet.send_order(order)
            to = answer if is_answered else None
            loop.call_outside(CALL_S + delay, fleet.take_order, order, to)
        await asyncio.wait({answer}, timeout=CALL_S + ORDER_TIMEOUT_S)
        await fleet.pass_step(self._host, "ordered")
        return answer.result() if answer.done() else None


class OrderingStore(StoreClient):
    """One host's access to the store, which takes what it was sent although the host has ended."""

    async def put(self, topic, name, value, revision):
        """Write an object at a revision; the answer may be lost, or the write done later."""
        host, fleet, loop = self._host, self._host.fleet, asyncio.get_running_loop()
        is_step = name.startswith(ASSIGNMENT_PREFIX) or name == PROMOTION_LEASE_OBJECT
        if is_step:
            await fleet.pass_step(host, "write")
        delay, is_answered = 0.0, True
        if fleet.late_writes:
            fleet.late_writes -= 1
            delay, is_answered = LATE_WRITE_S, False
        elif fleet.lost_answers:
            fleet.lost_answers -= 1
            is_answered = False
        answer = loop.create_future()
        loop.call_outside(CALL_S + delay, self._take, topic, name, value, revision, answer)
        if not is_answered:
            await asyncio.sleep(2 * CALL_S)
            raise StoreDown("no answer")
        outcome = await answer
        if is_step:
            await fleet.pass_step(host, "written")
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def _take(self, topic, name, value, revision, answer):
        outcome = self._write(topic, name, value, revision)
        if not answer.done():
            answer.set_result(outcome)

    def _write(self, topic, name, value, revision):
        if self._store.down or self._host.refused:
            return StoreDown("refused")
        written = self._store.write_if(topic, name, value, number_of(revision))
        if era_of(revision) != self._store.era:
            return EraChanged("another era")
        if written is None:
            known = [e for e in self._entries(topic) if e.name == name]
            return Conflict(known[0] if known else None)
        return self._with_era(written)


class OrderingMesh(ModelMesh):
    """A mesh whose messages are handled by the process that they reach, whoever sent them."""

    async def call(self, address, message, limit):
        """Call another host; raise NotSent or NoResponse."""
        await asyncio.sleep(CALL_S)
        other = self.meshes[address[0]]
        if self.host.resets or other.host.resets or other.host.process.ended:
            raise NotSent("[Errno 111] Connect call failed")
        if self.host.cut or other.host.cut:
            await asyncio.sleep(limit)
            raise NotSent("no connection")
        task = other.host.process.spawn(other.handlers[type(message)](None, message))
        await asyncio.wait({task}, timeout=limit)
        if not task.done():
            raise NoResponse("no answer")
        return task.result()


class OrderingHost(ModelHost):
    """A host with the real failover coordinator."""

    process = None

    def restart(self):
        """Replace the host's process by one that knows nothing; the earlier runs no step more."""
        if self.process is not None:
            self.process.ended = True
        self.thawed.set()
        self.process = Process()
        self.fleet.processes.append(self.process)
        self.process.call(self._start)

    def kill(self, seconds):
        """End the host's process; the next one starts after a time."""
        self.process.ended = True
        self.fleet.call_later(seconds, self.restart)

    def is_running(self):
        """Tell whether the host's process runs."""
        return not self.process.ended and not self.process.frozen

    def freeze(self, seconds):
        """Freeze the host's process for a time."""
        self.process.frozen = True
        self.fleet.call_later(seconds, self.process.thaw)

    def report(self):
        """Report that the primary does not answer this host."""
        primary = self.directory.primary(GROUP)
        if primary is not None and self.is_running():
            self.process.call(lambda: self.coordinator.report(GROUP, primary.name, "no response"))

    def uses(self, target):
        """Tell whether this host would send statements to a target as primary."""
        return self.directory.may_use_as_primary(GROUP, target)

    def _start(self):
        super().restart()
        self.coordinator = FailoverCoordinator(
            hosts=self.hosts,
            mesh=self.mesh,
            cache=self.cache,
            directory=self.directory,
            local_executor=SimpleNamespace(fence=self._fence),
            store=SimpleNamespace(remove=_refuse),
            link_factory=ModelLinks(host=self),
            promotion_api=OrderClient(host=self),
            lease=self.lease,
            count_failover=lambda group, why: None,
        )
        self.coordinator._rng = random.Random(self.hosts.own.process_name)
        self.tasks.append(asyncio.create_task(self._keep_registered()))

    def _open_mesh(self):
        return OrderingMesh(self.fleet.meshes, self)

    def _open_store(self):
        return OrderingStore(store=self.fleet.store, host=self)

    async def _fence(self, assignment, immediate):
        """Report no position: the model has no statements."""

    async def _run_repair(self):
        await self.coordinator.watch()

    async def _keep_registered(self):
        own = make_host(self.number, ZONES, incarnation=0)
        name = host_record_name(own.name)
        while True:
            await asyncio.sleep(REGISTER_INTERVAL_S)
            entry = self.cache.get(Topic.FLEET, name)
            if self.cache.revision(Topic.FLEET) and (entry is None or entry.value.withdrawn):
                try:
                    await self.cache.write(Topic.FLEET, name, HostRecord(host=own))
                except StoreDown:
                    continue


class OrderedFleet(ModelFleet):
    """The hosts, the store, the platform and the members.

    primary is the member that the platform regards as primary. Each of order_faults applies to one
    order: for how many seconds it is late, or LOST, and whether it is answered. fallen_tokens tells
    of orders that arrived with a lower token than an earlier one.
    """

    loop_class = ProcessLoop

    def __init__(self, *, seed, hosts_report=False):
        """Start the fleet and let it settle.

        If hosts_report, hosts report by themselves that the primary that they use does not answer.
        """
        self.members = {n: ModelMember(name=n) for n in MEMBERS}
        self.members[MEMBERS[0]].role = Role.PRIMARY
        self.term, self.order_faults, self.orders, self.step_faults = 1, [], [], []
        self.sent_orders, self.processes, self.fallen_tokens = [], [], []
        self.last_ordered = ""
        self.replaced_at, self.on_promoted = {}, []
        self._hosts_report = hosts_report
        self._reports = defaultdict(int)
        with patch.object(restored_store, "ModelHost", OrderingHost):
            super().__init__(seed=seed)

    def close(self):
        """Stop all processes, those too that have ended, and give the clock back."""
        for process in self.processes:
            self._loop._ready.extend(process.held)
        self._loop.release()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        super().close()

    def call_later(self, seconds, function, *args):
        """Call a function after a time, whatever becomes of the process that asks for it."""
        self._loop.call_outside(seconds, function, *args)

    def suspect(self, host):
        """Let a host report that the group's primary does not answer it."""
        self.run(_call(self.hosts[host].report))

    def pause(self, host, seconds):
        """Freeze a host for a time."""
        self.run(_call(lambda: self.hosts[host].freeze(seconds)))

    def cut_member(self, name, seconds):
        """Cut a member off from the hosts for a time."""
        member = self.members[name]
        member.cut, member.cut_until = True, max(member.cut_until, clock.now() + seconds)
        self.call_later(seconds, self._end_cut, member)

    def split_member(self, name, seconds):
        """Cut a member off from the other members for a time."""
        member = self.members[name]
        member.split, member.split_until = True, max(member.split_until, clock.now() + seconds)
        self.call_later(seconds, self._end_split, member)

    def leave(self, name, seconds):
        """Let a member report for a time that it is leaving."""
        member = self.members[name]
        member.leaving = True
        member.leaving_until = max(member.leaving_until, clock.now() + seconds)
        self._report(member)
        self.call_later(seconds, self._end_leaving, member)

    def darken(self, name, seconds):
        """Let a member lose power for a time; it keeps its log and role."""
        member = self.members[name]
        if not member.dark:
            member.dark, member.dark_since = True, clock.now()
        member.dark_until = max(member.dark_until, clock.now() + seconds)
        self.call_later(seconds, self._bring_back, member)

    def darken_and_suspect(self, name, seconds):
        """Let a member lose power for a time, and a host report it."""
        self.darken(name, seconds)
        self.call_later(SUSPECT_S, self.hosts[0].report)

    async def pass_step(self, host, step):
        """End or freeze a host's process if it is to end or freeze at this step."""
        for fault in [f for f in self.step_faults if f.step == step]:
            fault.count -= 1
            if fault.count > 0:
                continue
            self.step_faults.remove(fault)
            for other in self.hosts if fault.all_hosts else [host]:
                fail = other.freeze if fault.freezes else other.kill
                fail(fault.seconds)
        if not host.is_running():
            await asyncio.sleep(0)  # goes on once the process is thawed, if ever

    def send_order(self, order):
        """Note an order that is under way to the platform."""
        for other in self.sent_orders:
            if other.may_take_effect and other.target != order.target:
                self.violations.append(
                    f"{order.process} orders {order.target} while {other.process}'s order for"
                    f" {other.target} may take effect"
                )
        self.sent_orders.append(order)

    def take_order(self, order, answer):
        """Take an order at the platform."""
        target, process, token = order.target, order.process, order.token
        self.orders.append((clock.now(), target, process, token))
        for _, _, other, earlier in self.orders:
            if token < earlier or (token == earlier and other != process):
                found = self.fallen_tokens if token < earlier else self.violations
                found.append(f"token {token} of {process} after {earlier} of {other}")
        self._check_record(order)
        member = self.members[target]
        if member.dark or target == self.primary:
            order.may_take_effect = False
        else:
            self.call_later(PROMOTION_S, self._complete, order)
        if answer is not None:
            answer.set_result(not member.dark)

    def demote(self, member, term):
        """Make a member a replica."""
        member.role, member.term = Role.REPLICA, max(member.term, term)
        self._report(member)

    def agree(self):
        """Return the member that all hosts use as primary, None if they don't."""
        used = {m for m in MEMBERS for h in self.hosts if h.uses(m)}
        all_use = [m for m in used if all(h.uses(m) for h in self.hosts)]
        return all_use[0] if len(used) == 1 and all_use else None

    def converge(self):
        """End all faults; return what the hosts, the store and the platform disagree on."""
        self.run(_call(self._end_faults))
        self.advance(MAX_ORDER_DELAY_S + PROMOTION_S)  # orders that were under way
        until, quiet = clock.now() + AGREE_S, 0
        while clock.now() < until and quiet < QUIET_S and not self.violations:
            self.advance(1.0)
            quiet = quiet + 1 if self.agree() == self.primary else 0
        if quiet < QUIET_S and not self.violations:
            used = {h.hosts.own.name: [m for m in MEMBERS if h.uses(m)] for h in self.hosts}
            known = self.hosts[0].cache.assignment(GROUP)
            return [f"the platform has {self.primary}, the hosts use {used}: {known}"]
        return super().converge()

    def _end_faults(self):
        self.order_faults.clear()
        self.step_faults.clear()
        self.on_promoted.clear()
        self.lost_answers = self.late_writes = 0
        for host in self.hosts:
            host.cut = host.refused = host.resets = False
            if host.process.ended:
                host.restart()
            elif host.process.frozen:
                host.process.thaw()
        for member in self.members.values():
            member.cut = member.split = member.leaving = member.dark = False
            self._report(member)

    async def _start(self):
        await super()._start()
        self._keeper = asyncio.create_task(self._keep_members())

    async def _keep_members(self):
        """Keep the members' entries as the members are, and let hosts report the primary."""
        while True:
            await asyncio.sleep(MEMBER_INTERVAL_S)
            for member in self.members.values():
                self._keep_entry(member)
            for host in self.hosts if self._hosts_report else ():
                primary = host.directory.primary(GROUP)
                member = self.members[primary.name] if primary else None
                if member and (member.dark or member.cut) and host.uses(member.name):
                    host.report()

    def _keep_entry(self, member):
        entry = self.store.objects.get((Topic.TARGETS, member.name))
        reported = entry.value if entry else None
        if member.dark:
            if reported and clock.now() > member.dark_since + ENTRY_EXPIRY_S:
                if not self.store.down:
                    self.store.write(Topic.TARGETS, member.name, None)
        elif not reported or (reported.role, reported.leaving) != (member.role, member.leaving):
            self._report(member)

    def _check_record(self, order):
        """Check that the store tells every process of an order that changes the primary."""
        if order.target == self.primary:
            return
        entry = self.store.objects.get((Topic.FLEET, ASSIGNMENT_PREFIX + GROUP))
        record = entry.value if entry else None
        if record is None or record.settled or record.ordered[-1:] != (order.target,):
            self.violations.append(f"{order} arrives, but the store has {record}")

    def _complete(self, order):
        """Let an order take effect; nothing tells whether one for a dark member does."""
        order.may_take_effect = False
        member = self.members[order.target]
        if member.name == self.primary or (member.dark and self.rng.random() < 0.5):
            return
        users = [
            h.hosts.own.process_name for h in self.hosts if h.is_running() and h.uses(self.primary)
        ]
        if users:
            self.violations.append(f"{users} may use {self.primary} as {member.name} is promoted")
        self.replaced_at[self.primary] = clock.now()
        self.term += 1
        self.primary = member.name
        member.role, member.term, member.awaited_term = Role.PRIMARY, self.term, 0
        self._report(member)
        for other in self.members.values():
            if other is not member:
                self._follow(other)
        actions, self.on_promoted = self.on_promoted, []
        for action in actions:
            action(member.name)

    def _follow(self, member):
        """Let a member follow the primary a while after both can reach each other."""
        self.call_later(SELF_DEMOTION_S, self._follow_now, member)

    def _follow_now(self, member):
        primary = self.members[self.primary]
        if member is primary or member.term >= primary.term:
            return
        if member.dark or member.split or primary.dark:
            self._follow(member)
            return
        self.demote(member, primary.term)

    def _end_cut(self, member):
        if clock.now() >= member.cut_until:
            member.cut = False

    def _end_split(self, member):
        if clock.now() >= member.split_until:
            member.split = False

    def _end_leaving(self, member):
        if clock.now() >= member.leaving_until:
            member.leaving = False
            self._report(member)

    def _bring_back(self, member):
        if clock.now() >= member.dark_until:
            member.dark = False
            self._report(member)

    def _report(self, member):
        if member.dark or self.store.down:
            return
        self._reports[member.name] += 1
        report = Target(
            name="",
            group=GROUP,
            address="1.1.1.1:1",
            role=member.role,
            leaving=member.leaving,
            sequence=self._reports[member.name],
        )
        self.store.write(Topic.TARGETS, member.name, report)

    def _write_members(self):
        for member in self.members.values():
            self._report(member)

    def _check(self, host):
        for member in MEMBERS:
            if member != self.primary and host.uses(member):
                at = round(clock.now() - self.replaced_at.get(member, clock.now()), 3)
                name = host.hosts.own.process_name
                self.violations.append(f"{name} may use {member} {at} s after it was replaced")


async def _call(function):
    function()


async def _refuse(topic, name, revision):
    raise StoreDown("not modelled")
