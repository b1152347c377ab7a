"""Measure how CPU time, memory and message sizes grow with the size of a fleet.

The figures are those of the machine that runs this module; docs/CAPACITY.md builds on them.
"""

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

from standins.bench import Report, current_commit, process_cpu_seconds, resident_memory_mb
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

HOST_COUNTS = (8, 64, 512, 2_100)
GROUP_COUNTS = (10, 100, 1_000, 13_000)
KEY_COUNTS = (1_000, 10_000, 100_000)
DAEMON_COUNTS = (1, 4, 8, 16, 32)
IDLE_MEASUREMENT_S = 8.0


@dataclass(frozen=True, kw_only=True)
class LinearFit:
    """A straight line fitted to measured points: intercept + slope * x."""

    intercept: float
    slope: float


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Fit a line to (x, y) points by least squares."""
    slope, intercept = numpy.polyfit([p[0] for p in points], [p[1] for p in points], 1)
    return LinearFit(intercept=float(intercept), slope=float(slope))


def membership(report: Report) -> None:
    """Measure gossip rounds (time, message size) and the membership table's memory, by hosts."""
    for count in HOST_COUNTS:
        hosts = [_make_live_host(n) for n in range(count)]
        table, memory = _traced_memory(lambda hosts=hosts: _membership_table(hosts))
        rounds = 200
        round_s = _seconds_per_call(lambda table=table: _gossip_round(table), rounds)
        empty_digest = GossipDigest(
            sender="host-0", revision=1, platform_age=0.1, fresh=True, updates=()
        )
        full_digest = GossipDigest(
            sender="host-0", revision=1, platform_age=0.1, fresh=True, updates=tuple(hosts[:10])
        )
        report.add(
            f"membership of {count} hosts",
            round_us=round_s * 1e6,
            memory_kb=memory / 1e3,
            quiet_bytes=_encoded_size(to_thrift_digest(empty_digest)),
            busy_bytes=_encoded_size(to_thrift_digest(full_digest)),
        )


def _membership_table(hosts: list[Host]) -> Membership:
    table = Membership(own=hosts[0], rng=random.Random(1))
    for other in hosts[1:]:
        table.merge(other, 0.0)
    return table


def _gossip_round(table: Membership) -> None:
    table.next_probes(3)
    table.next_updates()
    table.expire_suspects(1.0)
    table.hosts()


def placement(report: Report) -> None:
    """Measure the time to find the owners of all groups, by hosts and groups.

    Cases: no owner is cached; a host joined; a host left.
    """
    for count in (8, 256, 2_100):
        for groups in (100, 1_000, 13_000):
            if count * groups > 3_000_000:
                groups = 1_000
            hosts = tuple(_make_live_host(n) for n in range(count))
            names = [f"group:{n}" for n in range(groups)]
            cache = OwnerCache()
            cache.update(hosts)
            full_s = _seconds_per_call(
                lambda cache=cache, names=names: _look_up_owners(cache, names), 1
            )
            joined = (*hosts, _make_live_host(count + 1))
            join_s = _seconds_per_call(
                lambda cache=cache, joined=joined: cache.update(joined),
                1,
            )
            cache.update(hosts)
            remaining = hosts[1:]
            leave_s = _seconds_per_call(
                lambda cache=cache, remaining=remaining, names=names: _update_owners(
                    cache, remaining, names
                ),
                1,
            )
            report.add(
                f"placement of {groups} groups over {count} hosts",
                anew_ms=full_s * 1e3,
                after_a_join_ms=join_s * 1e3,
                after_a_leave_ms=leave_s * 1e3,
            )


def _look_up_owners(cache: OwnerCache, names: list[str]) -> None:
    for name in names:
        cache.owners(name, "zone-1")


def _update_owners(cache: OwnerCache, hosts: tuple[Host, ...], names: list[str]) -> None:
    cache.update(hosts)
    _look_up_owners(cache, names)


def objects(report: Report) -> None:
    """Measure the memory of the settings cache and the time and message size of one change."""
    for count in KEY_COUNTS:
        cache, memory = _traced_memory(lambda count=count: _filled_cache("key", count, _make_key))
        report.add(
            f"copy of {count} keys",
            memory_mb=memory / 1e6,
            bytes_each=memory / count,
            change_us=_seconds_per_change(cache, count) * 1e6,
            change_bytes=_encoded_size(
                to_thrift_delta(Delta(revision=1, changes=(_make_change("key", 1, _make_key),)))
            ),
        )
    for count in GROUP_COUNTS:
        _, memory = _traced_memory(lambda count=count: _filled_cache("group", count, _make_group))
        report.add(f"copy of {count} groups", memory_mb=memory / 1e6, bytes_each=memory / count)


def _filled_cache(kind: str, count: int, make: Callable[[int], Record]) -> ObjectCache:
    cache = ObjectCache()
    changes = tuple(_make_change(kind, n, make) for n in range(1, count + 1))
    cache.apply(Delta(revision=count, changes=changes, whole=True))
    return cache


def _make_change(kind: str, number: int, make: Callable[[int], Record]) -> Change:
    raw = msgspec.Raw(msgspec.json.encode(make(number)))
    return Change(kind=kind, name=f"{kind}-{number}", revision=number, value=raw)


def _seconds_per_change(cache: ObjectCache, count: int) -> float:
    revisions = iter(range(count + 1, count + 3_000))

    def change() -> None:
        revision = next(revisions)
        change = msgspec.structs.replace(_make_change("key", 1, _make_key), revision=revision)
        cache.apply(Delta(revision=revision, changes=(change,)))

    return _seconds_per_call(change, 2_000)


def controllers(report: Report) -> None:
    """Measure the time of one failover decision and of one rate token grant."""
    view = _make_view()
    report.add(
        "failover decision", us=_seconds_per_call(lambda: next_action(view, 10.0), 5_000) * 1e6
    )
    bucket = TokenBucket(team=Team(name="t", rate=1e6, burst=1e6), now=0.0)
    request_numbers = iter(range(1, 100_000))

    def grant() -> None:
        request = GrantRequest(
            team="t", host="h", number=next(request_numbers), held=0.0, wanted=1.0
        )
        bucket.grant(request, time.monotonic())

    report.add("token grant", us=_seconds_per_call(grant, 20_000) * 1e6)


def heartbeats(report: Report) -> None:
    """Measure the CPU time and response size of one heartbeat to a member."""
    with Fleet() as fleet:
        fleet.start_group("g", size=1)
        started_member = fleet.members["g"][0]
        member = Member(
            name=started_member.name,
            ip=started_member.ip,
            port=started_member.port,
            control_port=started_member.control_port,
        )
        control = HttpMemberControl(member=member, source="127.0.0.1")
        cpu_before = time.process_time()
        for _ in range(2_000):
            control.progress(0, 0, 0)
        cpu_used = time.process_time() - cpu_before
        size = len(msgspec.json.encode(started_member.control("progress")))
        report.add("heartbeat to a member", cpu_us=cpu_used / 2_000 * 1e6, answer_bytes=size)


def fleets(report: Report) -> None:
    """Measure the CPU time and memory of idle daemons, by daemons and by groups."""
    points = []
    for count in DAEMON_COUNTS:
        idle = _measure_idle_daemons(count, 0)
        points.append((count, idle["cpu_share"]))
        report.add(f"{count} idle daemons, no group", **idle)
    fit = fit_line(points)
    report.add("idle daemon, share of a core by daemons", base=fit.intercept, each=fit.slope)
    points = []
    for groups in (1, 4, 8):
        idle = _measure_idle_daemons(2, groups)
        points.append((groups / 2, idle["cpu_share"]))
        report.add(f"2 idle daemons, {groups} groups of 3", **idle)
    fit = fit_line(points)
    report.add("idle daemon, share of a core by groups held", base=fit.intercept, each=fit.slope)


def _measure_idle_daemons(count: int, groups: int) -> dict[str, Any]:
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
        calls_before = _platform_calls(fleet)
        started, cpu_before = time.monotonic(), sum(process_cpu_seconds(p) for p in pids)
        time.sleep(IDLE_MEASUREMENT_S)
        elapsed = time.monotonic() - started
        cpu_used = sum(process_cpu_seconds(p) for p in pids) - cpu_before
        calls_after = _platform_calls(fleet)
        return {
            "cpu_share": cpu_used / elapsed / count,
            "memory_mb": sum(resident_memory_mb(p) for p in pids) / count,
            "platform_writes_s": (calls_after["put"] - calls_before["put"]) / elapsed,
            "platform_reads_s": (calls_after["get"] - calls_before["get"]) / elapsed,
            "platform_watches_s": (calls_after["watch"] - calls_before["watch"]) / elapsed,
        }


def _platform_calls(fleet: Fleet) -> dict[str, int]:
    counts = fleet.platform_calls()
    return {k: counts.get(k, 0) for k in ("put", "get", "watch")}


def _make_live_host(number: int) -> Host:
    """Return a live host with an address, a zone and a region derived from its number."""
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


def _make_key(number: int) -> Key:
    return Key(digest=f"{number:064x}", team=f"team-{number % 5_000}")


def _make_group(number: int) -> Group:
    members = tuple(
        Member(name=f"g{number}-{m}", ip=f"10.9.{m}.1", port=5432, control_port=5433, zone="zone-1")
        for m in range(3)
    )
    return Group(name=f"group-{number}", members=members)


def _make_view() -> GroupView:
    group = _make_group(1)
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


def _encoded_size(value: Any) -> int:
    buffer = TMemoryBuffer()
    value.write(TBinaryProtocolAccelerated(buffer))
    return len(buffer.getvalue())


def _seconds_per_call(action: Callable[[], Any], count: int) -> float:
    started = time.perf_counter()
    for _ in range(count):
        action()
    return (time.perf_counter() - started) / count


def _traced_memory(make: Callable[[], Any]) -> tuple[Any, int]:
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


MEASUREMENTS = {
    "membership": membership,
    "placement": placement,
    "objects": objects,
    "controllers": controllers,
    "heartbeats": heartbeats,
    "fleets": fleets,
}


def run(*names: str) -> None:
    """Run the named measurements, or all; write out/capacity.json."""
    report = Report(command="make capacity", seed=1, commit=current_commit())
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name](report)
    report.save("capacity")


if __name__ == "__main__":
    fire.Fire(run)
