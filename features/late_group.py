"""A group of stand-in members in this process, whose owners' orders can be late or unanswered."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from result import Err, Ok

from standins import member as standin
from wagtailloft.adapters.members import CONTROL_TIMEOUT_S, MemberRejected, MemberResponse
from wagtailloft.adapters.object_api import WriteConflict
from wagtailloft.board import Blackboard
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.decisions import Decisions
from wagtailloft.errors import Kind, NoResponse, NotSent, Refusal
from wagtailloft.group_service import GroupService, GroupServiceContext
from wagtailloft.metrics import Metrics
from wagtailloft.models import (
    Call,
    Change,
    Group,
    Member,
    Mode,
    Progress,
    PublishedPrimary,
    SqlStatement,
)
from wagtailloft.supervision import Supervisor

NAMES = ("m0", "m1", "m2")
OWNERS = ("A", "B")
TICK_S = 0.02
HEARTBEAT_S = 0.05
STATEMENT_BUDGET_S = 1.0
FIRST_PORT = 9001
INSERT = "INSERT INTO w VALUES (?)"
# An order that its sender gives up and that arrives later, that arrives when its frozen sender goes
# on, that is done without an answer, or that arrives when its sender's process has ended.
LATE, FROZEN, UNANSWERED, OWNER_ENDS = "late", "frozen", "unanswered", "owner ends"


class OwnerEnded(BaseException):
    """Raised where the process of an owner ends."""


@dataclass(frozen=True, kw_only=True)
class Promotion:
    """A promotion that took effect, at a monotonic time."""

    member: str
    term: int
    time: float


@dataclass(frozen=True, kw_only=True)
class Acknowledged:
    """A write that an owner acknowledged; `started` is the monotonic time of its call."""

    number: int
    term: int
    started: float


class InProcessMember(standin.Member):
    """A stand-in member whose replication uses the group's links instead of sockets."""

    def __init__(self, group, name):
        """Start a member of a group."""
        super().__init__(name=name, ip="127.0.0.1", slots=8, connections=32, connect_ms=0.0)
        self._group = group
        self.http = SimpleNamespace(request=self._request)

    def promote(self, term, claimant):
        """Become primary, and tell the group if that is a change."""
        with self.lock:
            was = self.role, self.term
            reply = super().promote(term, claimant)
            if (self.role, self.term) != was:
                self._group.promotions.append(
                    Promotion(member=self.name, term=self.term, time=time.monotonic())
                )
                self._group.on_promoted(self.name)
        return reply

    def _append(self, statements):
        super()._append(statements)
        self._group.committed += [(a[0], self.term) for sql, a in statements if sql == INSERT]

    def _request(self, method, url, json, timeout):
        port = int(url.removesuffix("/log").rpartition(":")[2])
        source = self._group.members[NAMES[port - FIRST_PORT]]
        self._group.check_link(self.name, source.name)
        status, value = source.entries(json["term"], json["runs"])
        self._group.check_link(self.name, source.name)
        return SimpleNamespace(status=status, json=lambda: msgspec.to_builtins(value))


class Store:
    """The platform's objects; a write can be done late, when its owner has ended."""

    def __init__(self, group):
        """Create an empty store."""
        self._group = group
        self._lock = threading.Lock()
        self.objects = {}
        self.down = False

    def api(self, owner):
        """Return an owner's object API."""
        return SimpleNamespace(get=self.get, put=lambda *args: self._put_from(owner, *args))

    def get(self, kind, name, timeout=0.0):
        """Return an object."""
        if self.down:
            return Err(Refusal(kind=Kind.PLATFORM_DOWN, detail="down"))
        return Ok(self.objects.get(name))

    def put(self, kind, name, value, version, timeout=0.0):
        """Write an object if it is still at a version."""
        with self._lock:
            stored = self.objects.get(name)
            revision = stored.revision if stored else 0
            if revision != version:
                return Err(WriteConflict(revision=revision, value=stored.value))
            raw = msgspec.Raw(msgspec.json.encode(value))
            change = Change(kind=kind, name=name, revision=revision + 1, value=raw)
            self.objects[name] = change
            return Ok(change)

    def _put_from(self, owner, *args):
        what = "publish" if args[2].primary else "claim"
        return self._group.carry(owner, "", what, lambda: self.put(*args))


class Owner:
    """A host that serves the group; its service runs only while `group.run` does."""

    def __init__(self, group, name):
        """Open the group at a host."""
        self.name, self._group, self.ended = name, group, False
        context = GroupServiceContext(
            host=name,
            board=Blackboard(),
            catalog=Catalog(objects=ObjectCache(), region="r", zone="z"),
            object_api=group.store.api(name),
            metrics=Metrics(),
            decisions=Decisions(host=name),
            connect=lambda member: OwnerLink(group, name, member.name),
            controls=lambda member: OwnerControl(group, name, member.name),
            heartbeat_interval=lambda: HEARTBEAT_S,
            supervisor=Supervisor(),
        )
        self.service = GroupService(group=group.description, context=context)
        self.service.start()

    def tick(self):
        """Run a round of maintenance, unless the previous one still runs; the process may end."""
        if self.ended:
            return
        try:
            self.service.tick()
        except OwnerEnded:
            self.end()

    def end(self):
        """End the process."""
        self.ended = True
        self._group.isolate(self.name)
        self.service.monitor.stop()

    def call(self, sql, args, budget, mode=Mode.WRITE):
        """Execute a statement; return the answer or a refusal."""
        statement = SqlStatement(sql=sql, args=args)
        request_id = f"{self.name}-{time.monotonic_ns()}"
        return self.service.serve(
            Call(
                request_id=request_id,
                team="t",
                route="r",
                group="g",
                statement=statement,
                mode=mode,
                budget=budget,
            )
        )


class OwnerControl:
    """An owner's control connection to a member."""

    def __init__(self, group, owner, member):
        """Connect an owner to a member."""
        self._group, self._owner, self._name = group, owner, member
        self._member = group.members[member]

    def progress(self, received, applied, wait):
        """Return the member's positions, after a wait."""
        self._group.check_link(self._owner, self._name)
        _, value = self._member.wait_progress(received, applied, wait)
        self._group.check_link(self._owner, self._name)
        return msgspec.convert(value, Progress)

    def current_progress(self):
        """Return the member's positions at once."""
        return self.progress(0, 0, 0)

    def command(self, action, body):
        """Give the member an order."""
        fields = msgspec.to_builtins(body)
        order = getattr(self._member, action)
        status, value = self._group.carry(
            self._owner, self._name, action, lambda: order(*fields.values())
        )
        progress = msgspec.convert(value, Progress)
        if status != 200:
            raise MemberRejected(action, f"the member is at term {progress.term}")
        return progress


class OwnerLink:
    """An owner's link for statements to a member."""

    usable = True

    def __init__(self, group, owner, member):
        """Open a link; raise NotSent if the member can't be reached."""
        self._group, self._owner, self._name = group, owner, member
        if group.is_cut(owner, member):
            raise NotSent("cut off")
        self._member = group.members[member]
        self._connection = self._member.connected()

    def call(self, action, request, timeout):
        """Execute a request."""
        if self._group.is_cut(self._owner, self._name):
            self.usable = False
            raise NoResponse("cut off")
        body = msgspec.to_builtins(request)
        status, value = self._member.handle(self._connection, "POST", f"/{action}", {}, body)
        if status != 200:
            raise MemberRejected(value["error"], value["detail"])
        for rows in value["results"]:
            rows["rows"] = [list(r) for r in rows["rows"]]
        return msgspec.convert(value, MemberResponse)

    def close(self):
        """Close the link."""
        if self.usable:
            self.usable = False
            self._member.disconnected(self._connection)

    def interrupt(self):
        """Ignore the call; no call of a link blocks for long."""


class LateGroup:
    """Three members, the hosts that own them, and the orders that are under way."""

    def __init__(self, stack):
        """Start the members and the owner A, which elects a primary."""
        stack.enter_context(patch.object(standin, "MAX_PULL_WAIT_S", HEARTBEAT_S))
        self.promotions, self.acknowledged, self.refused = [], [], []
        self.committed = []  # pairs of a number and the term in which a primary committed it
        self.resting = ""  # the owner that does no maintenance
        self.on_order = lambda owner, action: None
        self.on_promoted = lambda name: None
        self.ordered = ""  # the member of the latest promote command
        self._cuts, self._faults, self._under_way = set(), [], []
        self._numbers = iter(range(1, 1000))
        self._executor = stack.enter_context(ThreadPoolExecutor(16))
        self.members = {n: InProcessMember(self, n) for n in NAMES}
        ports = {n: FIRST_PORT + i for i, n in enumerate(NAMES)}
        self.description = Group(
            name="g",
            members=tuple(
                Member(name=n, ip="127.0.0.1", port=1, control_port=ports[n]) for n in NAMES
            ),
            slots=8,
            connections=32,
        )
        self.store = Store(self)
        self.owners = {n: Owner(self, n) for n in OWNERS}
        stack.callback(self._stop)
        self.prefer("A")
        self.run_until(lambda: self.promotions, 3.0)
        assert self.owners["A"].call("CREATE TABLE w (n INTEGER)", (), 3.0).is_ok()

    @property
    def latest(self):
        """Return the promotion of the highest term."""
        return max(self.promotions, key=lambda p: p.term)

    @property
    def late(self):
        """Return how many orders have not arrived yet."""
        return len(self._under_way)

    def prefer(self, name):
        """Make a host the preferred owner."""
        for owner in self.owners.values():
            owner.service.is_preferred_owner = owner.name == name

    def replicas(self):
        """Return the names of the members other than the primary."""
        return tuple(n for n in NAMES if n != self.latest.member)

    # Links.

    def is_cut(self, one, other):
        """Tell whether a link is cut."""
        return frozenset((one, other)) in self._cuts

    def check_link(self, one, other):
        """Raise NoResponse after the time-out, or OSError between members, if a link is cut."""
        if not self.is_cut(one, other):
            return
        if one in NAMES:
            raise OSError("cut off")
        time.sleep(CONTROL_TIMEOUT_S)
        raise NoResponse("cut off")

    def cut(self, one, *others):
        """Cut the links of a member or owner to others."""
        self._cuts |= {frozenset((one, o)) for o in others}

    def isolate(self, name):
        """Cut all links of a member or owner."""
        self.cut(name, *(n for n in (*NAMES, *OWNERS) if n != name))

    def join(self, one, *others):
        """Restore links, by default all of a member."""
        others = others or tuple(n for n in (*NAMES, *OWNERS) if n != one)
        ended = {o.name for o in self.owners.values() if o.ended}
        self._cuts -= {frozenset((one, o)) for o in others if o not in ended}

    # Orders.

    def disturb(self, action, fate, *, count=1, member="", owner=""):
        """Let the next orders of a kind, to a member or from an owner if given, be late or lost."""
        fault = SimpleNamespace(action=action, fate=fate, count=count, member=member, owner=owner)
        self._faults.append(fault)

    def carry(self, owner, member, action, order):
        """Carry out an order, or do to it what a fault demands."""
        if member:
            self.check_link(owner, member)
        self.on_order(owner, action)
        if action == "promote":
            self.ordered = member
        fault = self._take_fault(owner, member, action)
        if fault is None:
            return order()
        if fault.fate is FROZEN:
            return self._freeze(order)
        if fault.fate is UNANSWERED:
            order()
        else:
            self._under_way.append(order)
        if fault.fate is OWNER_ENDS:
            raise OwnerEnded
        if not member:
            return Err(Refusal(kind=Kind.OUTCOME_UNKNOWN, detail="no response"))
        raise NoResponse("no response")

    def _freeze(self, order):
        reply = Future()

        def go_on():
            reply.set_result(order())
            return reply.result()

        self._under_way.append(go_on)
        return reply.result()

    def _take_fault(self, owner, member, action):
        for fault in self._faults:
            is_meant = fault.member in ("", member) and fault.owner in ("", owner)
            if fault.count and fault.action == action and is_meant:
                fault.count -= 1
                return fault
        return None

    def deliver(self):
        """Let the late orders arrive, and return the replies."""
        orders, self._under_way = self._under_way, []
        return [order() for order in orders]

    # Time.

    def run_until(self, ready, seconds):
        """Let the owners work until a condition holds; raise AssertionError after a time."""
        if not self._run(ready, seconds):
            progress = [m.progress() for m in self.members.values()]
            raise AssertionError((self.promotions, self.refused[-3:], progress))

    def run(self, seconds):
        """Let the owners work for a time."""
        self._run(lambda: False, seconds)

    def _run(self, ready, seconds):
        until = time.monotonic() + seconds
        while not ready():
            if time.monotonic() >= until:
                return False
            for owner in self.owners.values():
                if owner.name != self.resting:
                    self._executor.submit(owner.tick)
            time.sleep(TICK_S)
        return True

    # Writes.

    def start_write(self, owner, budget=STATEMENT_BUDGET_S):
        """Start a write through an owner; return its future, whose number the log can have."""
        number = next(self._numbers)
        fut = self._executor.submit(self._write, self.owners[owner], number, budget)
        fut.number = number
        return fut

    def write(self, owner, budget=STATEMENT_BUDGET_S):
        """Write through an owner while all owners work; return whether it was acknowledged."""
        fut = self.start_write(owner, budget)
        self.run_until(fut.done, budget + 5.0)
        return fut.result()

    def write_until_acknowledged(self, owner, seconds):
        """Write through an owner until that is acknowledged."""
        until = time.monotonic() + seconds
        while not self.write(owner):
            assert time.monotonic() < until, (self.promotions, self.refused[-3:])

    def _write(self, owner, number, budget):
        started = time.monotonic()
        answered = owner.call(INSERT, (number,), budget)
        if isinstance(answered, Err):
            self.refused.append((owner.name, number, answered.err_value))
            return False
        term = answered.ok_value.position.term
        self.acknowledged.append(Acknowledged(number=number, term=term, started=started))
        return True

    # Checks.

    def check_acknowledged(self):
        """Check that no replaced primary has acknowledged a write that began after that."""
        for ack in self.acknowledged:
            newer = [p for p in self.promotions if p.term > ack.term and p.time < ack.started]
            assert not newer, (ack, newer)

    def check_terms(self):
        """Check that no term had two primaries."""
        primary_by_term = {}
        for promotion in self.promotions:
            first = primary_by_term.setdefault(promotion.term, promotion.member)
            assert first == promotion.member, self.promotions

    def check_agreement(self, seconds):
        """Check that all members get the same log, which has each acknowledged write once."""
        self.run_until(self._have_same_log, seconds)
        log = self.members[self.latest.member].log
        numbers = [a[0] for e in log for sql, a in e.work if sql.startswith("INSERT INTO w") and a]
        for ack in self.acknowledged:
            assert numbers.count(ack.number) == 1, (ack, numbers)

    def written(self, member):
        """Return the numbers that the log of a member has."""
        work = [w for entry in self.members[member].log for w in entry.work]
        return [args[0] for sql, args in work if sql == INSERT]

    def _have_same_log(self):
        logs = [[(e.term, e.index, e.work) for e in m.log] for m in self.members.values()]
        primaries = [m for m in self.members.values() if m.role == "primary"]
        return len(primaries) == 1 and logs[0] == logs[1] == logs[2]

    def published(self):
        """Return the published primary."""
        return self.store.objects["g"].decode(PublishedPrimary)

    def _stop(self):
        self.deliver()
        for owner in self.owners.values():
            owner.service.close()
