"""Pairs of faults drawn from seeds, under load, with the check of what callers were told."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import fire

from features.ledger import WriteChecker
from features.world import GROUP, TestFleet

FAULT_S = 1.2
RECOVER_S = 40.0
SEEDS_PER_FLEET = 10


@dataclass(frozen=True, kw_only=True)
class Fault:
    """Hold a fault and how it is healed."""

    name: str
    strike: Callable[[], None]
    heal: Callable[[], None]


class Faults:
    """Make the faults of one world."""

    def __init__(self, *, world: TestFleet, rng: random.Random) -> None:
        self._fleet = world.fleet
        self._rng = rng

    def draw(self) -> list[Fault]:
        """Return two faults that may strike together."""
        makers = [
            self._frozen_primary,
            self._cut_primary,
            self._frozen_host,
            self._killed_host,
            self._platform_down,
            self._platform_loses_answers,
            self._silent_members,
            self._silent_daemons,
            self._slow_links,
            self._reset_replica,
            self._lost_answers,
        ]
        return [make() for make in self._rng.sample(makers, 2)]

    def _frozen_primary(self) -> Fault:
        process = self._fleet.wait_primary(GROUP).process
        return Fault(name="frozen primary", strike=process.freeze, heal=process.thaw)

    def _cut_primary(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        others = [m for m in self._fleet.members[GROUP] if m is not primary]
        link = [f"{primary.name}/control"]

        def rule(mode: str) -> None:
            for member in others:
                self._fleet.set_link_fault(link, mode, member.ip)

        return Fault(name="cut primary", strike=lambda: rule("hold"), heal=lambda: rule("pass"))

    def _frozen_host(self) -> Fault:
        process = self._rng.choice(list(self._fleet.hosts.values())).process
        return Fault(name="frozen host", strike=process.freeze, heal=process.thaw)

    def _killed_host(self) -> Fault:
        process = self._rng.choice(list(self._fleet.hosts.values())).process

        def restart() -> None:
            process.frozen = False
            process.start()

        return Fault(name=f"killed {process.name}", strike=process.kill, heal=restart)

    def _platform_down(self) -> Fault:
        fault = self._fleet.set_platform_faults
        return Fault(
            name="platform down",
            strike=lambda: fault(down=True),
            heal=lambda: fault(down=False),
        )

    def _platform_loses_answers(self) -> Fault:
        fault = self._fleet.set_platform_faults
        return Fault(
            name="platform loses answers",
            strike=lambda: fault(drop_answers=5),
            heal=lambda: fault(drop_answers=0),
        )

    def _silent_members(self) -> Fault:
        names = [m.name for m in self._fleet.members[GROUP]]
        return Fault(
            name="silent members",
            strike=lambda: self._fleet.blackhole_open_connections(names),
            heal=lambda: None,
        )

    def _silent_daemons(self) -> Fault:
        names = list(self._fleet.hosts)
        return Fault(
            name="silent daemons",
            strike=lambda: self._fleet.blackhole_open_connections(names),
            heal=lambda: None,
        )

    def _slow_links(self) -> Fault:
        names = [m.name for m in self._fleet.members[GROUP]]
        return self._disturbance("slow links", names, "pass", delay_s=0.05)

    def _reset_replica(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        other = next(m for m in self._fleet.members[GROUP] if m is not primary)
        return self._disturbance("reset replica", [other.name, f"{other.name}/control"], "reset")

    def _lost_answers(self) -> Fault:
        primary = self._fleet.wait_primary(GROUP)
        return self._disturbance("lost answers", [primary.name], "lose_answers")

    def _disturbance(self, name: str, links: list[str], mode: str, **given: float) -> Fault:
        return Fault(
            name=name,
            strike=lambda: self._fleet.set_link_fault(links, mode, **given),
            heal=lambda: self._fleet.set_link_fault(links, "pass"),
        )


def run_seeds(first: int, count: int) -> list[str]:
    """Run so many seeds in one fleet; return a line for each."""
    lines = []
    with TestFleet(daemons=5, faults=True) as world, WriteChecker(world=world) as checker:
        checker.wait_acknowledged(20)
        for seed in range(first, first + count):
            lines.append(_strike(world, checker, seed))
        checker.__exit__()
        lines.append(checker.summary())
        checker.check()
    return lines


def _strike(world: TestFleet, checker: WriteChecker, seed: int) -> str:
    faults = Faults(world=world, rng=random.Random(seed)).draw()
    names = " and ".join(f.name for f in faults)
    for fault in faults:
        fault.strike()
    time.sleep(FAULT_S)
    for fault in faults:
        fault.heal()
    began = time.monotonic()
    try:
        checker.wait_acknowledged(20, RECOVER_S)
    except AssertionError as exc:
        raise AssertionError(f"seed {seed}, {names}: {exc}") from exc
    return f"seed {seed}: {names}: writes again after {time.monotonic() - began:.1f} s"


def main(seeds: int = 100, first: int = 1) -> None:
    """Run seeds in fleets of ten; stop at the first that fails."""
    for start in range(first, first + seeds, SEEDS_PER_FLEET):
        count = min(SEEDS_PER_FLEET, first + seeds - start)
        for line in run_seeds(start, count):
            print(line, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
