"""Soak test: inject pairs of seeded random faults under load and check all write outcomes."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import fire

from features.test_fleet import GROUP, TestFleet
from features.write_checker import WriteChecker

FAULT_DURATION_S = 1.2
RECOVERY_TIMEOUT_S = 40.0
SEEDS_PER_FLEET = 10


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A named fault, with functions that inject and heal it."""

    name: str
    inject: Callable[[], None]
    heal: Callable[[], None]


class Faults:
    """Build random faults for one fleet."""

    def __init__(self, *, test_fleet: TestFleet, rng: random.Random) -> None:
        self._fleet = test_fleet.fleet
        self._rng = rng

    def pick_pair(self) -> list[Fault]:
        """Return two different random faults, to be injected together."""
        builders = [
            self._frozen_primary,
            self._isolated_primary,
            self._frozen_host,
            self._killed_host,
            self._platform_down,
            self._platform_loses_responses,
            self._blackholed_member_connections,
            self._blackholed_daemon_connections,
            self._slow_connections,
            self._reset_replica,
            self._lost_responses,
        ]
        return [build() for build in self._rng.sample(builders, 2)]

    def _frozen_primary(self) -> Fault:
        process = self._fleet.wait_primary(GROUP).process
        return Fault(name="frozen primary", inject=process.suspend, heal=process.resume)

    def _isolated_primary(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        others = [m for m in self._fleet.members[GROUP] if m is not primary]
        endpoints = [f"{primary.name}/control"]

        def set_mode(mode: str) -> None:
            for member in others:
                self._fleet.set_proxy_fault(endpoints, mode, member.ip)

        return Fault(
            name="isolated primary", inject=lambda: set_mode("hold"), heal=lambda: set_mode("pass")
        )

    def _frozen_host(self) -> Fault:
        process = self._rng.choice(list(self._fleet.hosts.values())).process
        return Fault(name="frozen host", inject=process.suspend, heal=process.resume)

    def _killed_host(self) -> Fault:
        process = self._rng.choice(list(self._fleet.hosts.values())).process

        def restart() -> None:
            process.suspended = False
            process.start()

        return Fault(name=f"killed {process.name}", inject=process.kill, heal=restart)

    def _platform_down(self) -> Fault:
        set_faults = self._fleet.set_platform_faults
        return Fault(
            name="platform down",
            inject=lambda: set_faults(down=True),
            heal=lambda: set_faults(down=False),
        )

    def _platform_loses_responses(self) -> Fault:
        set_faults = self._fleet.set_platform_faults
        return Fault(
            name="platform loses responses",
            inject=lambda: set_faults(drop_answers=5),
            heal=lambda: set_faults(drop_answers=0),
        )

    def _blackholed_member_connections(self) -> Fault:
        names = [m.name for m in self._fleet.members[GROUP]]
        return Fault(
            name="blackholed member connections",
            inject=lambda: self._fleet.blackhole_open_connections(names),
            heal=lambda: None,
        )

    def _blackholed_daemon_connections(self) -> Fault:
        names = list(self._fleet.hosts)
        return Fault(
            name="blackholed daemon connections",
            inject=lambda: self._fleet.blackhole_open_connections(names),
            heal=lambda: None,
        )

    def _slow_connections(self) -> Fault:
        names = [m.name for m in self._fleet.members[GROUP]]
        return self._proxy_fault("slow connections", names, "pass", delay_s=0.05)

    def _reset_replica(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        replica = next(m for m in self._fleet.members[GROUP] if m is not primary)
        return self._proxy_fault(
            "reset replica", [replica.name, f"{replica.name}/control"], "reset"
        )

    def _lost_responses(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        return self._proxy_fault("lost responses", [primary.name], "lose_answers")

    def _proxy_fault(self, name: str, endpoints: list[str], mode: str, **options: float) -> Fault:
        return Fault(
            name=name,
            inject=lambda: self._fleet.set_proxy_fault(endpoints, mode, **options),
            heal=lambda: self._fleet.set_proxy_fault(endpoints, "pass"),
        )


def run_seeds(first: int, count: int) -> list[str]:
    """Run `count` seeds in one fleet; return one line per seed and a summary."""
    lines = []
    with (
        TestFleet(daemons=5, faults=True) as test_fleet,
        WriteChecker(test_fleet=test_fleet) as checker,
    ):
        checker.wait_acknowledged(20)
        for seed in range(first, first + count):
            lines.append(_run_seed(test_fleet, checker, seed))
        checker.__exit__()
        lines.append(checker.summary())
        checker.check()
    return lines


def _run_seed(test_fleet: TestFleet, checker: WriteChecker, seed: int) -> str:
    faults = Faults(test_fleet=test_fleet, rng=random.Random(seed)).pick_pair()
    names = " and ".join(f.name for f in faults)
    for fault in faults:
        fault.inject()
    time.sleep(FAULT_DURATION_S)
    for fault in faults:
        fault.heal()
    began = time.monotonic()
    try:
        checker.wait_acknowledged(20, RECOVERY_TIMEOUT_S)
    except AssertionError as exc:
        raise AssertionError(f"seed {seed}, {names}: {exc}") from exc
    return f"seed {seed}: {names}: recovered after {time.monotonic() - began:.1f} s"


def main(seeds: int = 100, first: int = 1) -> None:
    """Run `seeds` seeds from `first` on, ten per fleet; stop at the first seed that fails."""
    for start in range(first, first + seeds, SEEDS_PER_FLEET):
        count = min(SEEDS_PER_FLEET, first + seeds - start)
        for line in run_seeds(start, count):
            print(line, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
