"""Load and experiments: real fleets and the policies beside their alternatives."""

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
from standins.bench import GROUP, OUT, ROUTE, Bench, Latency, Report, commit
from standins.fleet import wait_until
from wagtailloft import Session, WagtailError
from wagtailloft.controllers.ownership import rate_shard
from wagtailloft.models import Team

INSERT = "INSERT INTO slots VALUES (?, ?)"
SMALL_TEAMS = 7


def latency(report: Report, count: int = 300) -> None:
    """Measure what a pass through entry and owner adds to a direct call to the member."""
    with Bench(daemons=3) as bench:
        direct = _direct(bench, count)
        report.add("direct read at the member", median_ms=direct.ms(50), p99_ms=direct.ms(99))
        for number in (1, 2, 3):
            read, write = Latency(), Latency()
            url = bench.fleet.hosts[f"host-{number}"].url
            session = bench.session()
            for turn in range(count):
                began = time.monotonic()
                session.read("SELECT 1", host=url)
                read.note(time.monotonic() - began)
                began = time.monotonic()
                session.write(INSERT, f"{number}-{turn}", "x", host=url)
                write.note(time.monotonic() - began)
            report.add(
                f"through host-{number}",
                read_median_ms=read.ms(50),
                read_p99_ms=read.ms(99),
                write_median_ms=write.ms(50),
                write_p99_ms=write.ms(99),
                added_read_ms=read.ms(50) - direct.ms(50),
            )


def _direct(bench: Bench, count: int) -> Latency:
    member = bench.fleet.primary(GROUP)
    term = member.control("progress")["term"]
    body = {"term": term, "mode": "read", "statements": [{"sql": "SELECT 1", "args": []}]}
    pool = urllib3.HTTPConnectionPool(member.ip, member.proxied_port, maxsize=1)
    times = Latency()
    for _ in range(count):
        began = time.monotonic()
        pool.request("POST", "/run", json=body)
        times.note(time.monotonic() - began)
    return times


def throughput(report: Report, seconds: float = 6.0, callers: int = 24) -> None:
    """Measure statements a second and what a daemon's processor pays for 1,000 of them."""
    with Bench(daemons=2) as bench:
        for mode in ("read", "write"):
            cpu, done = bench.cpu(), Counter()
            began = time.monotonic()
            _spawn_load(bench, mode, seconds, callers, done)
            took = time.monotonic() - began
            used = bench.cpu() - cpu
            total = done["ok"]
            report.add(
                f"throughput of {mode}s, 2 daemons",
                per_second=total / took,
                cpu_s_per_1000=used / max(1, total) * 1000,
                per_core=total / max(0.001, used),
                failed=done["failed"],
            )


def _spawn_load(bench: Bench, mode: str, seconds: float, callers: int, done: Counter) -> None:
    urls = ",".join(h.url for h in bench.fleet.hosts.values())
    command = [sys.executable, "-m", "standins.load", "press"]
    given = [f"--urls={urls}", f"--key={bench.key}", f"--mode={mode}", f"--seconds={seconds}"]
    processes = [
        subprocess.Popen(command + given + [f"--callers={callers // 3}"], stdout=subprocess.PIPE)
        for _ in range(3)
    ]
    for process in processes:
        out, _ = process.communicate()
        done.update(json.loads(out))


def press(urls: str, key: str, mode: str, seconds: float, callers: int) -> None:
    """Press a fleet from this process and print counts as JSON."""
    done: Counter = Counter()
    hosts = urls if isinstance(urls, (list, tuple)) else str(urls).split(",")
    until_time = time.monotonic() + seconds

    def call(number: int) -> None:
        session = Session(hosts=list(hosts), route=ROUTE, key=str(key))
        turn = 0
        while time.monotonic() < until_time:
            turn += 1
            try:
                if mode == "read":
                    session.read("SELECT 1")
                else:
                    session.write(INSERT, f"{os.getpid()}-{number}-{turn}", "x")
            except WagtailError:
                done["failed"] += 1
            else:
                done["ok"] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(dict(done)))


def replicas(report: Report, seconds: float = 6.0) -> None:
    """Measure the share of reads that replicas serve while sessions roam, by lag."""
    with Bench(daemons=8) as bench:
        for lag in (0.0, 0.2, 1.0):
            bench.tune(lag_s=lag)
            time.sleep(1.0)
            roles, waits, own, eligible = Counter(), Latency(), Counter(), Counter()
            stop = time.monotonic() + seconds

            def call(
                number: int,
                lag=lag,
                roles=roles,
                waits=waits,
                own=own,
                stop=stop,
                eligible=eligible,
            ) -> None:
                rng = random.Random(number)
                session = bench.session()
                while time.monotonic() < stop:
                    name = f"{lag}-{number}-{rng.random()}"
                    session.write(INSERT, name, "x")
                    written = time.monotonic()
                    for _ in range(9):
                        began = time.monotonic()
                        old = began - written >= lag
                        sql = "SELECT count(*) FROM slots WHERE id = ?"
                        read = session.read(sql, name)
                        waits.note(time.monotonic() - began)
                        roles[read.role] += 1
                        eligible[read.role] += old
                        own[read.result.rows[0][0]] += 1
                        time.sleep(0.05)

            _in_threads(call, 8)
            total = roles.total()
            report.add(
                f"reads with own writes, lag {lag} s",
                replica_share=roles["replica"] / total,
                of_eligible=eligible["replica"] / max(1, eligible.total()),
                all_to_primary=0.0,
                random_and_check=_random_share(lag),
                read_median_ms=waits.ms(50),
                read_p99_ms=waits.ms(99),
                reads=total,
                wrong=total - own[1],
            )


def _random_share(lag: float) -> float:
    """Return the share a random member would serve: a third of picks is the primary itself."""
    served = 0
    ages = [0.05 * n for n in range(9)]
    for age in ages:
        served += 2 / 3 if age >= lag else 0.0
    return served / len(ages)


def failover(report: Report, kills: int = 20, cuts: int = 20) -> None:
    """Measure the failover gap as callers see it: kills, then cuts of the primary."""
    for what, count in (("killed", kills), ("cut off", cuts)):
        gaps, unknown, lost = [], 0, 0
        with Bench(daemons=8, faults=True) as bench:
            for _ in range(count):
                gap, told = _one_gap(bench, what)
                gaps.append(gap)
                unknown += told["unknown"]
                lost += told["lost"]
        gaps.sort()
        report.add(
            f"failover gap, primary {what}",
            runs=len(gaps),
            median_s=gaps[len(gaps) // 2],
            worst_s=gaps[-1],
            unknown=unknown,
            acknowledged_and_lost=lost,
        )


def _one_gap(bench: Bench, what: str) -> tuple[float, Counter]:
    fleet = bench.fleet
    ends: list[float] = []
    acknowledged: list[str] = []
    told: Counter = Counter()
    stop = threading.Event()

    def call(number: int) -> None:
        session, turn = bench.session(), 0
        while not stop.is_set():
            turn += 1
            name = f"{time.time_ns()}-{number}-{turn}"
            try:
                session.write(INSERT, name, "x", deadline=15.0)
            except WagtailError as exc:
                told[type(exc).__name__] += 1
                continue
            acknowledged.append(name)
            ends.append(time.monotonic())
            time.sleep(0.005)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(ends) > 30, 20.0, "no load")
    primary = fleet.primary(GROUP)
    others = [m for m in fleet.members[GROUP] if m is not primary]
    struck = time.monotonic()
    if what == "killed":
        primary.process.kill()
    else:
        for member in others:
            fleet.set_link_fault([f"{primary.name}/control"], "hold", member.ip)
    wait_until(lambda: len([e for e in ends if e > struck + 0.3]) > 30, 30.0, "no writes again")
    stop.set()
    for thread in threads:
        thread.join()
    gap = max((b - a for a, b in zip(sorted(ends), sorted(ends)[1:], strict=False)), default=0.0)
    _mend(bench, primary, others, what)
    log = fleet.primary(GROUP).control("dump")["entries"]
    held = {args[0] for e in log for sql, args in e["work"] if sql.startswith("INSERT INTO slots")}
    told["lost"] = len([a for a in acknowledged if a not in held])
    told["unknown"] = told["CheckOutcome"]
    return gap, told


def _mend(bench: Bench, primary: Any, others: list, what: str) -> None:
    if what == "killed":
        primary.process.start()
        wait_until(primary.is_responding, 10.0, "the member does not start")
    else:
        for member in others:
            bench.fleet.set_link_fault([f"{primary.name}/control"], "pass", member.ip)
    wait_until(lambda: _level(bench), 30.0, "members are not level")
    time.sleep(1.0)


def _level(bench: Bench) -> bool:
    reports = [m.control("progress") for m in bench.fleet.members[GROUP]]
    return len({str(r["received"]) for r in reports}) == 1


def fairness(report: Report, seed: int = 1, seconds: float = 20.0) -> None:
    """Compare fair queueing with first come first served beside a tenant at 8 times its rate."""
    slots, takes = 2, 0.01
    share = slots / takes / (SMALL_TEAMS + 1)
    rng = random.Random(seed)
    jobs = [
        policies.Job(team="large", arrives=t, takes=takes)
        for t in policies.arrivals(share * 8, seconds, rng)
    ]
    for number in range(SMALL_TEAMS):
        times = policies.arrivals(share * 0.9, seconds, rng)
        jobs += [policies.Job(team=f"small-{number}", arrives=t, takes=takes) for t in times]
    lines = {
        "fair queue": policies.Fair(slots=slots, limit=200, deadline=5.0),
        "first come first served": policies.FirstCome(limit=200 * (SMALL_TEAMS + 1)),
    }
    for name, line in lines.items():
        served = policies.serve(jobs, line, slots)
        worst = min(_goodput(served, f"small-{n}") for n in range(SMALL_TEAMS))
        waits = sorted(
            s.wait for s in served if s.wait is not None and s.job.team.startswith("small")
        )
        report.add(
            f"worst-served team, {name}",
            goodput_share=worst,
            wait_p99_s=waits[int(len(waits) * 0.99)],
            jobs=len(jobs),
        )


def _goodput(served: list[policies.Served], team: str) -> float:
    mine = [s for s in served if s.job.team == team]
    return len([s for s in mine if s.wait is not None and s.wait < 1.0]) / max(1, len(mine))


def limits(report: Report, seed: int = 1, seconds: float = 60.0) -> None:
    """Compare token batches with an exact bucket, an equal split and local buckets."""
    hosts = 8
    for rate, burst in ((20.0, 10.0), (400.0, 100.0)):
        team = Team(name="team", rate=rate, burst=burst)
        for skew in ("even", "skewed"):
            rng = random.Random(seed)
            times = policies.arrivals(rate * 0.8, seconds, rng)
            where = [
                0 if skew == "skewed" and rng.random() < 0.7 else rng.randrange(hosts)
                for _ in times
            ]
            ours = policies.TokenBatches(hosts=hosts, team=team, report=0.05)
            kinds = {
                "token batches": ours,
                "one exact bucket": policies.OneBucket(team=team),
                "equal split": policies.EqualSplit(hosts=hosts, team=team),
                "local buckets": policies.LocalBuckets(hosts=hosts, team=team),
            }
            for name, limiter in kinds.items():
                ran = [limiter.admit(h, t) for t, h in zip(times, where, strict=True)]
                admitted = [t for t in ran if t is not None]
                report.add(
                    f"{name}, {rate:g}/s burst {burst:g}, 80% offered, {skew}",
                    wrongly_refused=(len(times) - len(admitted)) / len(times),
                    over_limit=policies.most_over(admitted, team),
                    asks_per_request=ours.asks / len(times) if limiter is ours else 0.0,
                )
            flood = policies.arrivals(rate * 3, seconds / 4, rng)
            for name, limiter in {
                "token batches": policies.TokenBatches(hosts=hosts, team=team, report=0.05),
                "local buckets": policies.LocalBuckets(hosts=hosts, team=team),
            }.items():
                ran = [limiter.admit(rng.randrange(hosts), t) for t in flood]
                admitted = [t for t in ran if t is not None]
                report.add(
                    f"{name}, {rate:g}/s burst {burst:g}, 300% offered",
                    over_limit=policies.most_over(admitted, team),
                    admitted_share=len(admitted) / (rate * seconds / 4),
                )


def refusals(report: Report, seconds: float = 15.0, seed: int = 1) -> None:
    """Measure wrongful refusals on a real fleet: teams at 80% of their rate, roaming."""
    with Bench(daemons=8) as bench:
        teams = {f"team-{n}": (20.0 if n else 100.0) for n in range(SMALL_TEAMS + 1)}
        keys = {name: bench.add_team(name, rate, rate) for name, rate in teams.items()}
        route = {"name": "shared", "group": GROUP, "teams": list(teams)}
        bench.fleet.api().put("route", "shared", route, 0)
        time.sleep(4.0)
        told: Counter = Counter()

        def call(name: str, rate: float, key: str) -> None:
            rng = random.Random(f"{seed}{name}")
            session = bench.session("shared", key)
            began = time.monotonic()
            for at in policies.arrivals(rate * 0.8, seconds, rng):
                time.sleep(max(0.0, began + at - time.monotonic()))
                try:
                    session.read("SELECT 1")
                except WagtailError as exc:
                    told[exc.kind.value if exc.kind else "no answer"] += 1
                else:
                    told["ok"] += 1

        threads = [threading.Thread(target=call, args=(n, r, keys[n])) for n, r in teams.items()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        total = told.total()
        refused = total - told["ok"]
        report.add(
            "wrongful refusals, 8 teams at 80% of their rate, 8 daemons",
            share=refused / total,
            requests=total,
            **{k: v for k, v in told.items() if k != "ok"},
        )


def takeover(report: Report, seconds: float = 16.0) -> None:
    """Measure how long grants pause and what is refused when a limit owner is killed."""
    with Bench(daemons=8) as bench:
        key = bench.add_team("small", 20.0, 20.0)
        route = {"name": "shared", "group": GROUP, "teams": ["small"]}
        bench.fleet.api().put("route", "shared", route, 0)
        time.sleep(8.0)
        hosts = bench.fleet.status()["hosts"]
        holder = next(h["name"] for h in hosts if rate_shard("small") in h["shards"])
        ends, told = [], Counter()
        stop = time.monotonic() + seconds

        def call(number: int) -> None:
            while time.monotonic() < stop:
                try:
                    bench.session("shared", key).read("SELECT 1")
                except WagtailError as exc:
                    told[exc.kind.value if exc.kind else "no answer"] += 1
                else:
                    ends.append(time.monotonic())
                time.sleep(0.3)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(4.0)
        bench.fleet.hosts[holder].process.kill()
        for thread in threads:
            thread.join()
        ends.sort()
        gap = max(b - a for a, b in zip(ends, ends[1:], strict=False))
        report.add("limit owner killed, deadline 5 s", gap_s=gap, served=len(ends), **told)


def measure(seed: int = 1, kills: int = 20, cuts: int = 20) -> None:
    """Run all experiments; write out/measure.json and plots."""
    report = Report(command="make measure", seed=seed, commit=commit())
    fairness(report, seed)
    limits(report, seed)
    latency(report)
    throughput(report)
    replicas(report)
    refusals(report, seed=seed)
    takeover(report)
    failover(report, kills, cuts)
    report.save("measure")
    plots.draw(report.rows, OUT)


def one(name: str, **given: Any) -> None:
    """Run one experiment by name."""
    report = Report(command=f"load one {name}", seed=1, commit=commit())
    EXPERIMENTS[name](report, **given)
    report.save(name)


def _in_threads(call: Any, count: int) -> None:
    threads = [threading.Thread(target=call, args=(n,)) for n in range(count)]
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
