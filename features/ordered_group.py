"""A model of hosts that fail over a group whose promotions take time, in virtual time.

The hosts' caches, leases, fences and failovers are real; the members, the platform's promotion API
and the store are models.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch

from features import restored_store
from features.fake_mesh import make_host
from features.restored_store import CALL_S, GROUP, MEMBERS, ZONES, ModelFleet, ModelHost
from wagtailloft import clock
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import HostRecord, Target, Topic, host_record_name
from wagtailloft.groups.failover import FailoverCoordinator
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.models import Position, Role

PROMOTION_S = 1.0  # from an order until it takes effect
ORDER_TIMEOUT_S = 0.8  # of a host that waits for the answer to an order
CONNECT_TIMEOUT_S = 0.2
ENTRY_EXPIRY_S = 3.6  # of a dark member
SUSPECT_S = 0.2
SELF_DEMOTION_S = 1.0  # of an old primary that reaches the new one
REGISTER_INTERVAL_S = 0.5


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


class ModelLink:
    """A host's link to a member."""

    def __init__(self, *, fleet, member):
        """Open a link."""
        self._fleet, self._member = fleet, member

    async def status(self, timeout):
        """Return the member's status."""
        await self._call(timeout)
        return self._member.status()

    async def pause(self, term, timeout):
        """Stop a replica from receiving until a term."""
        await self._call(timeout)
        self._member.awaited_term = term
        return self._member.status()

    async def resume(self, timeout):
        """Let a replica receive again."""
        await self._call(timeout)
        self._member.awaited_term = 0
        return self._member.status()

    async def demote(self, term, timeout):
        """Make a primary of a lower term a replica."""
        await self._call(timeout)
        if self._member.role is Role.PRIMARY and self._member.term < term:
            self._fleet.demote(self._member, term)
        return self._member.status()

    def close(self):
        """Close the link."""

    async def _call(self, timeout):
        await asyncio.sleep(CALL_S)
        if self._member.dark or self._member.cut:
            await asyncio.sleep(timeout)
            raise NoResponse("no answer")


class ModelLinks:
    """Open the links of one process of a host."""

    def __init__(self, *, fleet, host):
        """Open links to the members of a fleet."""
        self._fleet, self._host, self._incarnation = fleet, host, host.incarnation

    async def open(self, spec):
        """Open a link; raise NotSent if the member can't be reached."""
        if self._host.incarnation != self._incarnation:
            raise asyncio.CancelledError  # the process has ended
        member = self._fleet.members[spec.target]
        if member.dark or member.cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NotSent("connect timed out")
        await asyncio.sleep(CALL_S)
        return ModelLink(fleet=self._fleet, member=member)


class OrderClient:
    """One host's access to the promotion API."""

    def __init__(self, *, fleet, host):
        """Let a host order promotions."""
        self._fleet, self._host = fleet, host

    async def promote(self, *, group, target, holder, fencing_token):
        """Order a promotion; return whether it was accepted, None if no answer came."""
        faults = self._fleet.order_faults
        self._fleet.last_ordered = target
        delay, is_answered = faults.pop(0) if faults else (0.0, True)
        process = self._host.hosts.own.process_name
        answer = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(
            CALL_S + delay, self._fleet.take_order, target, process, fencing_token, answer
        )
        await asyncio.sleep(CALL_S)
        if not is_answered or delay:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return None
        await self._host.thawed.wait()
        return await answer


class OrderingHost(ModelHost):
    """A host with the real failover coordinator."""

    def restart(self):
        """Replace the host's process by one that knows nothing."""
        if self.incarnation:
            for task in list(self.coordinator._failovers.values()):
                task.cancel()
        super().restart()
        self.coordinator = FailoverCoordinator(
            hosts=self.hosts,
            mesh=self.mesh,
            cache=self.cache,
            directory=self.directory,
            local_executor=SimpleNamespace(fence=self._fence),
            store=SimpleNamespace(remove=_refuse),
            link_factory=ModelLinks(fleet=self.fleet, host=self),
            promotion_api=OrderClient(fleet=self.fleet, host=self),
            lease=self.lease,
            count_failover=lambda group, why: None,
        )
        self.tasks.append(asyncio.create_task(self._keep_registered()))

    def uses(self, target):
        """Tell whether this host would send statements to a target as primary."""
        return self.directory.may_use_as_primary(GROUP, target)

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
    order: for how many seconds it is late, and whether it is answered.
    """

    def __init__(self, *, seed):
        """Start the fleet and let it settle."""
        self.members = {n: ModelMember(name=n) for n in MEMBERS}
        self.members[MEMBERS[0]].role = Role.PRIMARY
        self.term, self.order_faults, self.orders = 1, [], []
        self.last_ordered = ""
        self.replaced_at, self.on_promoted = {}, []
        self._reports = defaultdict(int)
        with patch.object(restored_store, "ModelHost", OrderingHost):
            super().__init__(seed=seed)

    def suspect(self, host):
        """Let a host report that the group's primary does not answer it."""

        async def report():
            self._suspect_now(host)

        self.run(report())

    def cut_member(self, name, seconds):
        """Cut a member off from the hosts for a time."""
        member = self.members[name]
        member.cut = True
        self._loop.call_later(seconds, setattr, member, "cut", False)

    def darken(self, name, seconds):
        """Let a member lose power for a time; it keeps its log and role."""
        member = self.members[name]
        member.dark = True
        self._loop.call_later(ENTRY_EXPIRY_S, self._expire_entry, member)
        self._loop.call_later(seconds, self._bring_back, member)

    def darken_and_suspect(self, name, seconds):
        """Let a member lose power for a time, and a host report it."""
        self.darken(name, seconds)
        self._loop.call_later(SUSPECT_S, self._suspect_now, 0)

    def take_order(self, target, process, token, answer):
        """Take an order at the platform."""
        self.orders.append((clock.now(), target, process, token))
        for _, _, other, earlier in self.orders:
            if token < earlier or (token == earlier and other != process):
                self.violations.append(f"token {token} of {process} after {earlier} of {other}")
        member = self.members[target]
        if not member.dark and target != self.primary:
            self._loop.call_later(PROMOTION_S, self._complete, member)
        if not answer.done():
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

    def _suspect_now(self, host):
        process = self.hosts[host]
        primary = process.directory.primary(GROUP)
        if primary is not None:
            process.coordinator.report(GROUP, primary.name, "no response")

    def _complete(self, member):
        """Let an order take effect."""
        if member.dark or member.name == self.primary:
            return
        users = [h.hosts.own.process_name for h in self.hosts if h.uses(self.primary)]
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
        self._loop.call_later(SELF_DEMOTION_S, self._follow_now, member)

    def _follow_now(self, member):
        primary = self.members[self.primary]
        if member is primary or member.term >= primary.term:
            return
        if member.dark or member.split or primary.dark:
            self._follow(member)
            return
        self.demote(member, primary.term)

    def _bring_back(self, member):
        member.dark = False
        self._report(member)

    def _expire_entry(self, member):
        if member.dark and not self.store.down:
            self.store.write(Topic.TARGETS, member.name, None)

    def _report(self, member):
        if member.dark or self.store.down:
            return
        self._reports[member.name] += 1
        report = Target(
            name="",
            group=GROUP,
            address="1.1.1.1:1",
            role=member.role,
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


async def _refuse(topic, name, revision):
    raise StoreDown("not modelled")
