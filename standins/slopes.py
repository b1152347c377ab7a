"""The slopes behind docs/CAPACITY.md: cost against size, measured on this machine."""

import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import fire
import msgspec
import numpy
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from standins.bench import Report, commit, cpu_of, memory_of
from standins.fleet import Fleet, wait_until
from wagtailloft.adapters.members import HttpMemberControl
from wagtailloft.adapters.peers import GossipDigest, to_thrift_delta, to_thrift_digest
from wagtailloft.controllers.failover import next_action
from wagtailloft.controllers.membership import Membership
from wagtailloft.controllers.object_cache import Delta, ObjectCache
from wagtailloft.controllers.placement import OwnerCache
from wagtailloft.controllers.token_bucket import GrantRequest, TokenBucket
from wagtailloft.controllers.views import GroupView, MemberView
from wagtailloft.models import (
    Change,
    Group,
    Host,
    HostState,
    Key,
    Member,
    Position,
    Progress,
    Record,
    Role,
    Team,
)

HOSTS = (8, 64, 512, 2_100)
GROUPS = (10, 100, 1_000, 13_000)
KEYS = (1_000, 10_000, 100_000)
FLEETS = (1, 4, 8, 16, 32)
IDLE_S = 8.0


@dataclass(frozen=True, kw_only=True)
class Slope:
    """Hold a straight line through measured points."""

    base: float
    each: float


def line(points: list[tuple[float, float]]) -> Slope:
    """Fit a line through points."""
    each, base = numpy.polyfit([p[0] for p in points], [p[1] for p in points], 1)
    return Slope(base=float(base), each=float(each))


def membership(report: Report) -> None:
    """Measure a gossip round's time and bytes, and the memory of a host's belief, by hosts."""
    for count in HOSTS:
        hosts = [host(n) for n in range(count)]
        own, memory = _memory(lambda hosts=hosts: _belief(hosts))
        rounds = 200
        took = _time(lambda own=own: _round(own), rounds)
        quiet = GossipDigest(sender="host-0", revision=1, platform_age=0.1, fresh=True, news=())
        busy = GossipDigest(
            sender="host-0", revision=1, platform_age=0.1, fresh=True, news=tuple(hosts[:10])
        )
        report.add(
            f"membership of {count} hosts",
            round_us=took * 1e6,
            memory_kb=memory / 1e3,
            quiet_bytes=_bytes(to_thrift_digest(quiet)),
            busy_bytes=_bytes(to_thrift_digest(busy)),
        )


def _belief(hosts: list[Host]) -> Membership:
    belief = Membership(own=hosts[0], rng=random.Random(1))
    for known in hosts[1:]:
        belief.merge(known, 0.0)
    return belief


def _round(belief: Membership) -> None:
    belief.next_probes(3)
    belief.next_updates()
    belief.expire_suspects(1.0)
    belief.hosts()


def placement(report: Report) -> None:
    """Measure ranking groups over hosts anew, and after one host came or went."""
    for count in (8, 256, 2_100):
        for groups in (100, 1_000, 13_000):
            if count * groups > 3_000_000:
                groups = 1_000
            hosts = tuple(host(n) for n in range(count))
            names = [f"group:{n}" for n in range(groups)]
            kept = OwnerCache()
            kept.update(hosts)
            anew = _time(lambda kept=kept, names=names: _rank(kept, names), 1)
            more = (*hosts, host(count + 1))
            joined = _time(lambda kept=kept, more=more: kept.update(more), 1)
            kept.update(hosts)
            less = hosts[1:]
            left = _time(lambda k=kept, less=less, names=names: _leave(k, less, names), 1)
            report.add(
                f"placement of {groups} groups over {count} hosts",
                anew_ms=anew * 1e3,
                after_a_join_ms=joined * 1e3,
                after_a_leave_ms=left * 1e3,
            )


def _rank(kept: OwnerCache, names: list[str]) -> None:
    for name in names:
        kept.owners(name, "zone-1")


def _leave(kept: OwnerCache, hosts: tuple[Host, ...], names: list[str]) -> None:
    kept.update(hosts)
    _rank(kept, names)


def objects(report: Report) -> None:
    """Measure memory of the copy of settings, and the time and bytes of a change."""
    for count in KEYS:
        kept, memory = _memory(lambda count=count: _copy("key", count, _key))
        report.add(
            f"copy of {count} keys",
            memory_mb=memory / 1e6,
            bytes_each=memory / count,
            change_us=_change_time(kept, count) * 1e6,
            change_bytes=_bytes(
                to_thrift_delta(Delta(revision=1, changes=(_change("key", 1, _key),)))
            ),
        )
    for count in GROUPS:
        _, memory = _memory(lambda count=count: _copy("group", count, _group))
        report.add(f"copy of {count} groups", memory_mb=memory / 1e6, bytes_each=memory / count)


def _copy(kind: str, count: int, make: Callable[[int], Record]) -> ObjectCache:
    kept = ObjectCache()
    changes = tuple(_change(kind, n, make) for n in range(1, count + 1))
    kept.apply(Delta(revision=count, changes=changes, whole=True))
    return kept


def _change(kind: str, number: int, make: Callable[[int], Record]) -> Change:
    raw = msgspec.Raw(msgspec.json.encode(make(number)))
    return Change(kind=kind, name=f"{kind}-{number}", revision=number, value=raw)


def _change_time(kept: ObjectCache, count: int) -> float:
    revisions = iter(range(count + 1, count + 3_000))

    def change() -> None:
        revision = next(revisions)
        change = msgspec.structs.replace(_change("key", 1, _key), revision=revision)
        kept.apply(Delta(revision=revision, changes=(change,)))

    return _time(change, 2_000)


def controllers(report: Report) -> None:
    """Measure one failover decision and one token grant."""
    view = _view()
    report.add("failover decision", us=_time(lambda: next_action(view, 10.0), 5_000) * 1e6)
    bucket = TokenBucket(team=Team(name="t", rate=1e6, burst=1e6), now=0.0)
    numbers = iter(range(1, 100_000))

    def grant() -> None:
        request = GrantRequest(team="t", host="h", number=next(numbers), held=0.0, wanted=1.0)
        bucket.grant(request, time.monotonic())

    report.add("token grant", us=_time(grant, 20_000) * 1e6)


def heartbeats(report: Report) -> None:
    """Measure the processor time and bytes of one heartbeat to a member."""
    with Fleet() as fleet:
        fleet.start_group("g", size=1)
        at = fleet.members["g"][0]
        member = Member(name=at.name, ip=at.ip, port=at.port, control_port=at.control_port)
        control = HttpMemberControl(member=member, source="127.0.0.1")
        began = time.process_time()
        for _ in range(2_000):
            control.progress(0, 0, 0)
        used = time.process_time() - began
        size = len(msgspec.json.encode(at.control("progress")))
        report.add("heartbeat to a member", cpu_us=used / 2_000 * 1e6, answer_bytes=size)


def fleets(report: Report) -> None:
    """Measure the processor time and memory of idle daemons, by daemons and by groups."""
    points = []
    for count in FLEETS:
        idle = _idle(count, 0)
        points.append((count, idle["cpu_share"]))
        report.add(f"{count} idle daemons, no group", **idle)
    slope = line(points)
    report.add("idle daemon, share of a core by daemons", base=slope.base, each=slope.each)
    points = []
    for groups in (1, 4, 8):
        idle = _idle(2, groups)
        points.append((groups / 2, idle["cpu_share"]))
        report.add(f"2 idle daemons, {groups} groups of 3", **idle)
    slope = line(points)
    report.add("idle daemon, share of a core by groups held", base=slope.base, each=slope.each)


def _idle(count: int, groups: int) -> dict[str, Any]:
    with Fleet() as fleet:
        for number in range(groups):
            fleet.start_group(f"g{number}")
        for number in range(1, count + 1):
            fleet.start_host(f"host-{number}")
        fleet.wait_hosts()
        for number in range(groups):
            fleet.put_group(f"g{number}")
        for number in range(groups):
            fleet.wait_primary(f"g{number}")
        wait_until(lambda: True, 1.0, "")
        time.sleep(5.0)
        pids = [h.process.handle.pid for h in fleet.hosts.values()]
        calls = _platform_calls(fleet)
        began, cpu = time.monotonic(), sum(cpu_of(p) for p in pids)
        time.sleep(IDLE_S)
        took = time.monotonic() - began
        used = sum(cpu_of(p) for p in pids) - cpu
        after = _platform_calls(fleet)
        return {
            "cpu_share": used / took / count,
            "memory_mb": sum(memory_of(p) for p in pids) / count,
            "platform_writes_s": (after["put"] - calls["put"]) / took,
            "platform_reads_s": (after["get"] - calls["get"]) / took,
            "platform_watches_s": (after["watch"] - calls["watch"]) / took,
        }


def _platform_calls(fleet: Fleet) -> dict[str, int]:
    counts = fleet.platform_calls()
    return {k: counts.get(k, 0) for k in ("put", "get", "watch")}


def host(number: int) -> Host:
    """Return a made-up host."""
    return Host(
        name=f"host-{number}",
        ip=f"10.{number // 250}.{number % 250}.1",
        caller_port=7001,
        peer_port=7002,
        operator_port=7003,
        zone=f"zone-{number % 11}",
        region=f"region-{number % 4}",
        incarnation=1_700_000_000_000,
        state=HostState.ALIVE,
    )


def _key(number: int) -> Key:
    return Key(digest=f"{number:064x}", team=f"team-{number % 5_000}")


def _group(number: int) -> Group:
    members = tuple(
        Member(name=f"g{number}-{m}", ip=f"10.9.{m}.1", port=5432, control_port=5433, zone="zone-1")
        for m in range(3)
    )
    return Group(name=f"group-{number}", members=members)


def _view() -> GroupView:
    group = _group(1)
    reports = [
        Progress(
            name=m.name,
            term=3,
            role=Role.PRIMARY if n == 0 else Role.REPLICA,
            received=Position(term=3, index=100),
            applied=Position(term=3, index=100),
        )
        for n, m in enumerate(group.members)
    ]
    members = tuple(
        MemberView(member=m, progress=p, last_seen=9.9)
        for m, p in zip(group.members, reports, strict=True)
    )
    return GroupView(group=group, members=members)


def _bytes(value: Any) -> int:
    buffer = TMemoryBuffer()
    value.write(TBinaryProtocolAccelerated(buffer))
    return len(buffer.getvalue())


def _time(action: Callable[[], Any], count: int) -> float:
    began = time.perf_counter()
    for _ in range(count):
        action()
    return (time.perf_counter() - began) / count


def _memory(make: Callable[[], Any]) -> tuple[Any, int]:
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


PARTS = {
    "membership": membership,
    "placement": placement,
    "objects": objects,
    "controllers": controllers,
    "heartbeats": heartbeats,
    "fleets": fleets,
}


def run(*names: str) -> None:
    """Measure the named slopes, or all; write out/capacity.json."""
    report = Report(command="make capacity", seed=1, commit=commit())
    for name in names or PARTS:
        PARTS[name](report)
    report.save("capacity")


if __name__ == "__main__":
    fire.Fire(run)
