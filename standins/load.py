"""Measure real fleets under load and compare policies with their alternatives in simulations."""

import json
import os
import random
import subprocess
import sys
import threading
import time
from collections import Counter
from typing import Any

import fire
import urllib3

from standins import plots, policies
from standins.bench import (
    GROUP,
    OUTPUT_DIR,
    ROUTE,
    BenchmarkFleet,
    LatencyHistogram,
    Report,
    current_commit,
)
from standins.fleet import wait_until
from wagtailloft import Session, WagtailError
from wagtailloft.controllers.ownership import rate_shard
from wagtailloft.models import Team

INSERT = "INSERT INTO slots VALUES (?, ?)"
SMALL_TEAMS = 7


def latency(report: Report, count: int = 300) -> None:
    """Measure the latency that the entry and owner hosts add to a direct call to the member."""
    with BenchmarkFleet(daemons=3) as bench:
        direct = _measure_direct_reads(bench, count)
        report.add(
            "direct read at the member",
            median_ms=direct.percentile_ms(50),
            p99_ms=direct.percentile_ms(99),
        )
        for number in (1, 2, 3):
            read, write = LatencyHistogram(), LatencyHistogram()
            url = bench.fleet.hosts[f"host-{number}"].url
            session = bench.session()
            for turn in range(count):
                started = time.monotonic()
                session.read("SELECT 1", host=url)
                read.record(time.monotonic() - started)
                started = time.monotonic()
                session.write(INSERT, f"{number}-{turn}", "x", host=url)
                write.record(time.monotonic() - started)
            report.add(
                f"through host-{number}",
                read_median_ms=read.percentile_ms(50),
                read_p99_ms=read.percentile_ms(99),
                write_median_ms=write.percentile_ms(50),
                write_p99_ms=write.percentile_ms(99),
                added_read_ms=read.percentile_ms(50) - direct.percentile_ms(50),
            )


def _measure_direct_reads(bench: BenchmarkFleet, count: int) -> LatencyHistogram:
    member = bench.fleet.primary(GROUP)
    term = member.control("progress")["term"]
    body = {"term": term, "mode": "read", "statements": [{"sql": "SELECT 1", "args": []}]}
    pool = urllib3.HTTPConnectionPool(member.ip, member.proxied_port, maxsize=1)
    latencies = LatencyHistogram()
    for _ in range(count):
        started = time.monotonic()
        pool.request("POST", "/run", json=body)
        latencies.record(time.monotonic() - started)
    return latencies


def throughput(report: Report, seconds: float = 6.0, callers: int = 24) -> None:
    """Measure statements per second and the daemons' CPU seconds per 1,000 statements."""
    with BenchmarkFleet(daemons=2) as bench:
        for mode in ("read", "write"):
            cpu_before, outcomes = bench.cpu_seconds(), Counter()
            started = time.monotonic()
            _run_load_processes(bench, mode, seconds, callers, outcomes)
            elapsed = time.monotonic() - started
            cpu_used = bench.cpu_seconds() - cpu_before
            total = outcomes["ok"]
            report.add(
                f"throughput of {mode}s, 2 daemons",
                per_second=total / elapsed,
                cpu_s_per_1000=cpu_used / max(1, total) * 1000,
                per_core=total / max(0.001, cpu_used),
                failed=outcomes["failed"],
            )


def _run_load_processes(
    bench: BenchmarkFleet, mode: str, seconds: float, callers: int, outcomes: Counter
) -> None:
    urls = ",".join(h.url for h in bench.fleet.hosts.values())
    command = [sys.executable, "-m", "standins.load", "press"]
    flags = [f"--urls={urls}", f"--key={bench.key}", f"--mode={mode}", f"--seconds={seconds}"]
    processes = [
        subprocess.Popen(command + flags + [f"--callers={callers // 3}"], stdout=subprocess.PIPE)
        for _ in range(3)
    ]
    for process in processes:
        output, _ = process.communicate()
        outcomes.update(json.loads(output))


def press(urls: str, key: str, mode: str, seconds: float, callers: int) -> None:
    """Send statements to a fleet from `callers` threads; print the counts of outcomes as JSON."""
    outcomes: Counter = Counter()
    hosts = urls if isinstance(urls, (list, tuple)) else str(urls).split(",")
    end_time = time.monotonic() + seconds

    def call(number: int) -> None:
        session = Session(hosts=list(hosts), route=ROUTE, key=str(key))
        turn = 0
        while time.monotonic() < end_time:
            turn += 1
            try:
                if mode == "read":
                    session.read("SELECT 1")
                else:
                    session.write(INSERT, f"{os.getpid()}-{number}-{turn}", "x")
            except WagtailError:
                outcomes["failed"] += 1
            else:
                outcomes["ok"] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(dict(outcomes)))


def replicas(report: Report, seconds: float = 6.0) -> None:
    """Measure the share of reads that replicas serve, by replication lag.

    Each session sends every request to another host than the one before.
    """
    with BenchmarkFleet(daemons=8) as bench:
        for lag in (0.0, 0.2, 1.0):
            bench.tune(lag_s=lag)
            time.sleep(1.0)
            roles, latencies, row_counts, eligible = (
                Counter(),
                LatencyHistogram(),
                Counter(),
                Counter(),
            )
            end_time = time.monotonic() + seconds

            def call(
                number: int,
                lag=lag,
                roles=roles,
                latencies=latencies,
                row_counts=row_counts,
                end_time=end_time,
                eligible=eligible,
            ) -> None:
                rng = random.Random(number)
                session = bench.session()
                while time.monotonic() < end_time:
                    name = f"{lag}-{number}-{rng.random()}"
                    session.write(INSERT, name, "x")
                    written_at = time.monotonic()
                    for _ in range(9):
                        started = time.monotonic()
                        is_eligible = started - written_at >= lag
                        sql = "SELECT count(*) FROM slots WHERE id = ?"
                        read = session.read(sql, name)
                        latencies.record(time.monotonic() - started)
                        roles[read.role] += 1
                        eligible[read.role] += is_eligible
                        row_counts[read.result.rows[0][0]] += 1
                        time.sleep(0.05)

            _run_in_threads(call, 8)
            total = roles.total()
            report.add(
                f"reads with own writes, lag {lag} s",
                replica_share=roles["replica"] / total,
                of_eligible=eligible["replica"] / max(1, eligible.total()),
                all_to_primary=0.0,
                random_and_check=_random_member_share(lag),
                read_median_ms=latencies.percentile_ms(50),
                read_p99_ms=latencies.percentile_ms(99),
                reads=total,
                wrong=total - row_counts[1],
            )


def _random_member_share(lag: float) -> float:
    """Return the share of reads that replicas would serve if each read tried one random member.

    One of the three members is the primary, so replicas are tried for two thirds of the reads,
    and a replica can serve a read only once the write is at least `lag` seconds old.
    """
    served = 0
    ages = [0.05 * n for n in range(9)]
    for age in ages:
        served += 2 / 3 if age >= lag else 0.0
    return served / len(ages)


def failover(report: Report, kills: int = 20, cuts: int = 20) -> None:
    """Measure the time without successful writes after the primary is killed or cut off."""
    for fault, count in (("killed", kills), ("cut off", cuts)):
        gaps, unknown, lost = [], 0, 0
        with BenchmarkFleet(daemons=8, faults=True) as bench:
            for _ in range(count):
                gap, outcomes = _measure_gap(bench, fault)
                gaps.append(gap)
                unknown += outcomes["unknown"]
                lost += outcomes["lost"]
        gaps.sort()
        report.add(
            f"failover gap, primary {fault}",
            runs=len(gaps),
            median_s=gaps[len(gaps) // 2],
            worst_s=gaps[-1],
            unknown=unknown,
            acknowledged_and_lost=lost,
        )


def _measure_gap(bench: BenchmarkFleet, fault: str) -> tuple[float, Counter]:
    fleet = bench.fleet
    success_times: list[float] = []
    acknowledged: list[str] = []
    outcomes: Counter = Counter()
    stop = threading.Event()

    def call(number: int) -> None:
        session, turn = bench.session(), 0
        while not stop.is_set():
            turn += 1
            name = f"{time.time_ns()}-{number}-{turn}"
            try:
                session.write(INSERT, name, "x", deadline=15.0)
            except WagtailError as exc:
                outcomes[type(exc).__name__] += 1
                continue
            acknowledged.append(name)
            success_times.append(time.monotonic())
            time.sleep(0.005)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(success_times) > 30, 20.0, "too few writes succeeded")
    primary = fleet.primary(GROUP)
    others = [m for m in fleet.members[GROUP] if m is not primary]
    fault_time = time.monotonic()
    if fault == "killed":
        primary.process.kill()
    else:
        for member in others:
            fleet.set_proxy_fault([f"{primary.name}/control"], "hold", member.ip)
    wait_until(
        lambda: len([t for t in success_times if t > fault_time + 0.3]) > 30,
        30.0,
        "writes did not resume",
    )
    stop.set()
    for thread in threads:
        thread.join()
    gap = max(
        (b - a for a, b in zip(sorted(success_times), sorted(success_times)[1:], strict=False)),
        default=0.0,
    )
    _restore_members(bench, primary, others, fault)
    log = fleet.primary(GROUP).control("dump")["entries"]
    stored = {
        args[0] for e in log for sql, args in e["work"] if sql.startswith("INSERT INTO slots")
    }
    outcomes["lost"] = len([a for a in acknowledged if a not in stored])
    outcomes["unknown"] = outcomes["CheckOutcome"]
    return gap, outcomes


def _restore_members(bench: BenchmarkFleet, primary: Any, others: list, fault: str) -> None:
    if fault == "killed":
        primary.process.start()
        wait_until(primary.is_responding, 10.0, "the member did not start")
    else:
        for member in others:
            bench.fleet.set_proxy_fault([f"{primary.name}/control"], "pass", member.ip)
    wait_until(lambda: _logs_match(bench), 30.0, "the members' logs still differ")
    time.sleep(1.0)


def _logs_match(bench: BenchmarkFleet) -> bool:
    reports = [m.control("progress") for m in bench.fleet.members[GROUP]]
    return len({str(r["received"]) for r in reports}) == 1


def fairness(report: Report, seed: int = 1, seconds: float = 20.0) -> None:
    """Compare fair queueing with first come, first served while one team overloads the slots.

    The large team sends 8 times its equal share of the slots, each small team 90% of its share.
    """
    slots, service_time = 2, 0.01
    share = slots / service_time / (SMALL_TEAMS + 1)
    rng = random.Random(seed)
    jobs = [
        policies.Job(team="large", arrival_time=t, service_time=service_time)
        for t in policies.poisson_arrivals(share * 8, seconds, rng)
    ]
    for number in range(SMALL_TEAMS):
        times = policies.poisson_arrivals(share * 0.9, seconds, rng)
        jobs += [
            policies.Job(team=f"small-{number}", arrival_time=t, service_time=service_time)
            for t in times
        ]
    queues = {
        "fair queue": policies.FairQueueAdapter(slots=slots, limit=200, deadline=5.0),
        "first come first served": policies.FifoQueue(limit=200 * (SMALL_TEAMS + 1)),
    }
    for name, queue in queues.items():
        job_outcomes = policies.simulate_queue(jobs, queue, slots)
        worst = min(_goodput_share(job_outcomes, f"small-{n}") for n in range(SMALL_TEAMS))
        waits = sorted(
            o.wait for o in job_outcomes if o.wait is not None and o.job.team.startswith("small")
        )
        report.add(
            f"worst-served team, {name}",
            goodput_share=worst,
            wait_p99_s=waits[int(len(waits) * 0.99)],
            jobs=len(jobs),
        )


def _goodput_share(job_outcomes: list[policies.JobOutcome], team: str) -> float:
    of_team = [o for o in job_outcomes if o.job.team == team]
    return len([o for o in of_team if o.wait is not None and o.wait < 1.0]) / max(1, len(of_team))


def limits(report: Report, seed: int = 1, seconds: float = 60.0) -> None:
    """Compare batched tokens with one central bucket, an equal split and a full bucket per host."""
    hosts = 8
    for rate, burst in ((20.0, 10.0), (400.0, 100.0)):
        team = Team(name="team", rate=rate, burst=burst)
        for skew in ("even", "skewed"):
            rng = random.Random(seed)
            times = policies.poisson_arrivals(rate * 0.8, seconds, rng)
            receiving_hosts = [
                0 if skew == "skewed" and rng.random() < 0.7 else rng.randrange(hosts)
                for _ in times
            ]
            batched = policies.BatchedTokenLimiter(hosts=hosts, team=team, report_interval=0.05)
            limiters = {
                "token batches": batched,
                "one exact bucket": policies.CentralBucketLimiter(team=team),
                "equal split": policies.EqualSplitLimiter(hosts=hosts, team=team),
                "local buckets": policies.LocalBucketsLimiter(hosts=hosts, team=team),
            }
            for name, limiter in limiters.items():
                run_times = [
                    limiter.admit(h, t) for t, h in zip(times, receiving_hosts, strict=True)
                ]
                admitted = [t for t in run_times if t is not None]
                report.add(
                    f"{name}, {rate:g}/s burst {burst:g}, 80% offered, {skew}",
                    wrongly_refused=(len(times) - len(admitted)) / len(times),
                    over_limit=policies.max_excess(admitted, team),
                    asks_per_request=(
                        batched.requests_sent / len(times) if limiter is batched else 0.0
                    ),
                )
            overload_times = policies.poisson_arrivals(rate * 3, seconds / 4, rng)
            for name, limiter in {
                "token batches": policies.BatchedTokenLimiter(
                    hosts=hosts, team=team, report_interval=0.05
                ),
                "local buckets": policies.LocalBucketsLimiter(hosts=hosts, team=team),
            }.items():
                run_times = [limiter.admit(rng.randrange(hosts), t) for t in overload_times]
                admitted = [t for t in run_times if t is not None]
                report.add(
                    f"{name}, {rate:g}/s burst {burst:g}, 300% offered",
                    over_limit=policies.max_excess(admitted, team),
                    admitted_share=len(admitted) / (rate * seconds / 4),
                )


def refusals(report: Report, seconds: float = 15.0, seed: int = 1) -> None:
    """Measure how many requests a fleet refuses although each team sends only 80% of its rate.

    Each session sends every request to another host than the one before.
    """
    with BenchmarkFleet(daemons=8) as bench:
        teams = {f"team-{n}": (20.0 if n else 100.0) for n in range(SMALL_TEAMS + 1)}
        keys = {name: bench.add_team(name, rate, rate) for name, rate in teams.items()}
        route = {"name": "shared", "group": GROUP, "teams": list(teams)}
        bench.fleet.api().put("route", "shared", route, 0)
        time.sleep(4.0)
        outcomes: Counter = Counter()

        def call(name: str, rate: float, key: str) -> None:
            rng = random.Random(f"{seed}{name}")
            session = bench.session("shared", key)
            started = time.monotonic()
            for offset in policies.poisson_arrivals(rate * 0.8, seconds, rng):
                time.sleep(max(0.0, started + offset - time.monotonic()))
                try:
                    session.read("SELECT 1")
                except WagtailError as exc:
                    outcomes[exc.kind.value if exc.kind else "no answer"] += 1
                else:
                    outcomes["ok"] += 1

        threads = [threading.Thread(target=call, args=(n, r, keys[n])) for n, r in teams.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        total = outcomes.total()
        refused = total - outcomes["ok"]
        report.add(
            "wrongful refusals, 8 teams at 80% of their rate, 8 daemons",
            share=refused / total,
            requests=total,
            **{k: v for k, v in outcomes.items() if k != "ok"},
        )


def takeover(report: Report, seconds: float = 16.0) -> None:
    """Measure the pause in served requests and the refusals after a token owner is killed.

    The token owner is the host that grants a team's rate tokens.
    """
    with BenchmarkFleet(daemons=8) as bench:
        key = bench.add_team("small", 20.0, 20.0)
        route = {"name": "shared", "group": GROUP, "teams": ["small"]}
        bench.fleet.api().put("route", "shared", route, 0)
        time.sleep(8.0)
        hosts = bench.fleet.status()["hosts"]
        owner = next(h["name"] for h in hosts if rate_shard("small") in h["shards"])
        success_times, outcomes = [], Counter()
        end_time = time.monotonic() + seconds

        def call(number: int) -> None:
            while time.monotonic() < end_time:
                try:
                    bench.session("shared", key).read("SELECT 1")
                except WagtailError as exc:
                    outcomes[exc.kind.value if exc.kind else "no answer"] += 1
                else:
                    success_times.append(time.monotonic())
                time.sleep(0.3)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(4.0)
        bench.fleet.hosts[owner].process.kill()
        for thread in threads:
            thread.join()
        success_times.sort()
        gap = max(b - a for a, b in zip(success_times, success_times[1:], strict=False))
        report.add(
            "limit owner killed, deadline 5 s", gap_s=gap, served=len(success_times), **outcomes
        )


def measure(seed: int = 1, kills: int = 20, cuts: int = 20) -> None:
    """Run all experiments; write out/measure.json and the charts."""
    report = Report(command="make measure", seed=seed, commit=current_commit())
    fairness(report, seed)
    limits(report, seed)
    latency(report)
    throughput(report)
    replicas(report)
    refusals(report, seed=seed)
    takeover(report)
    failover(report, kills, cuts)
    report.save("measure")
    plots.draw(report.rows, OUTPUT_DIR)


def one(name: str, **flags: Any) -> None:
    """Run the experiment `name` with its own flags; write out/NAME.json."""
    report = Report(command=f"load one {name}", seed=1, commit=current_commit())
    EXPERIMENTS[name](report, **flags)
    report.save(name)


def _run_in_threads(function: Any, count: int) -> None:
    threads = [threading.Thread(target=function, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


EXPERIMENTS = {
    "latency": latency,
    "throughput": throughput,
    "replicas": replicas,
    "failover": failover,
    "fairness": fairness,
    "limits": limits,
    "refusals": refusals,
    "takeover": takeover,
}

if __name__ == "__main__":
    fire.Fire({"measure": measure, "one": one, "press": press})
