"""Play random faults against a model of the fleet, for a time or as a test."""

import random
import time

import fire
from absl import logging
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from features.restored_objects import ModelDaemons
from features.restored_store import HOSTS, ModelFleet

STEPS = 50
EXAMPLES_PER_SEED = 20
hosts = st.integers(0, HOSTS - 1)
durations = st.sampled_from((0.4, 1.5, 4.0, 8.0))


class FaultMachine(RuleBasedStateMachine):
    """Restores of the store, lost and late writes, cuts, pauses and restarts of hosts."""

    fleet_class = None  # the model
    fleet = None

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        """Start the fleet."""
        self.fleet = self.fleet_class(seed=seed)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 4.0)))
    def advance(self, seconds):
        """Let time pass."""
        self.fleet.advance(seconds)

    @rule(age=st.floats(0.5, 9.0), outage=st.floats(0.0, 2.0), restarted=st.sets(hosts))
    def restore(self, age, outage, restarted):
        """Bring the store back from an older copy, and restart hosts at that moment."""
        self.fleet.restore(age=age, outage=outage, restarted=restarted)

    @rule(host=hosts)
    def restart(self, host):
        """Restart a host."""
        self.fleet.restart(host)

    @rule(host=hosts, seconds=durations)
    def refuse(self, host, seconds):
        """Let the store refuse a host for a time."""
        self.fleet.refuse(host, seconds)

    @rule(host=hosts, seconds=durations)
    def cut(self, host, seconds):
        """Cut a host off from the others for a time."""
        self.fleet.cut(host, seconds)

    @rule(host=hosts, seconds=durations)
    def pause(self, host, seconds):
        """Freeze a host for a time."""
        self.fleet.pause(host, seconds)

    @rule(late=st.booleans())
    def lose_answer(self, late):
        """Lose the answer of the next write of a host, which may be done seconds later."""
        if late:
            self.fleet.late_writes = 1
        else:
            self.fleet.lost_answers = 1

    @invariant()
    def keeps_promises(self):
        """Check what was observed since the last step."""
        assert not (self.fleet and self.fleet.violations), self.fleet.violations[:3]

    def teardown(self):
        """End all faults, and check that the fleet agrees."""
        if self.fleet is None:
            return
        try:
            wrong = [] if self.fleet.violations else self.fleet.converge()
            assert not wrong and not self.fleet.violations, (wrong, self.fleet.violations[:3])
        finally:
            self.fleet.close()


class HostMachine(FaultMachine):
    """The faults, beside configurations and failovers, against a fleet of hosts."""

    fleet_class = ModelFleet

    @rule(withdraw=st.booleans())
    def configure(self, withdraw):
        """Let the operator write a configuration."""
        self.fleet.configure(withdraw=withdraw)

    @rule(host=hosts, seconds=durations)
    def reset(self, host, seconds):
        """Cut a host that goes on running off from the others and the store, with resets."""
        self.fleet.reset(host, seconds)

    @rule(host=hosts, seconds=st.sampled_from((0.02, 0.5, 4.0)))
    def fail_over(self, host, seconds):
        """Let a host replace the primary, and time pass."""
        self.fleet.fail_over(host)
        self.fleet.advance(seconds)


class DaemonMachine(FaultMachine):
    """The faults, beside changes of keys, against daemons of the own interface."""

    fleet_class = ModelDaemons

    @rule(host=hosts)
    def add_key(self, host):
        """Let the operator add a key through a host."""
        self.fleet.add_key(host)

    @rule(host=hosts)
    def withdraw_key(self, host):
        """Let the operator withdraw the oldest key through a host."""
        self.fleet.withdraw_key(host)

    @rule(host=hosts)
    def change_level(self, host):
        """Let the operator change a setting through a host."""
        self.fleet.change_level(host)


MACHINES = {"hosts": HostMachine, "daemons": DaemonMachine}


def play(machine, examples, first_seed, *, shrink=False):
    """Play random runs from a seed; raise AssertionError with the steps of a failing one.

    To shrink a failing run takes minutes.
    """
    options = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink) if shrink else (Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(first_seed)(machine), settings=options)


def main(seconds: float = 600.0, first_seed: int = 0, shrink: bool = False, only: str = ""):
    """Play with fresh seeds for a time; print each seed, so that a failing one can be repeated."""
    logging.set_verbosity(logging.ERROR)
    number = first_seed or random.randrange(2**32)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for name in [only] if only else MACHINES:
            print(f"{name} seed {number}", flush=True)
            play(MACHINES[name], EXAMPLES_PER_SEED, number, shrink=shrink)
        number += 1


if __name__ == "__main__":
    fire.Fire(main)
