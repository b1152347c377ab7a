"""Play random faults against a model of the fleet, for a time or as a test."""

import random
import time
from functools import partial

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

from features.ordered_group import (
    CHECKED_STEPS,
    LOST,
    MAX_ORDER_DELAY_S,
    STEPS_OF_FAILOVERS,
    OrderedFleet,
    StepFault,
)
from features.restored_objects import FIRST_INCARNATION, ModelDaemons
from features.restored_store import HOSTS, MEMBERS, ModelFleet
from wagtailloft.models import Role

STEPS = 50
EXAMPLES_PER_SEED = 20
hosts = st.integers(0, HOSTS - 1)
members = st.sampled_from(MEMBERS)
ways_of_losing = st.sampled_from(("cut_member", "darken", "leave", "split_member"))
waits = st.sampled_from((0.1, 0.6, 1.2, 4.0, 9.0))
order_faults = st.tuples(
    st.sampled_from((0.0, 0.3, 1.5, 4.0, MAX_ORDER_DELAY_S, LOST)), st.booleans()
)
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
    def reset(self, host, seconds):
        """Cut a host that goes on running off from the others and the store, with resets."""
        self.fleet.reset(host, seconds)

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
        assert not (self.fleet and self.broken()), self.broken()[:3]

    def broken(self):
        """Return the promises that were seen broken."""
        return self.fleet.violations

    def teardown(self):
        """End all faults, and check that the fleet agrees."""
        if self.fleet is None:
            return
        try:
            wrong = [] if self.broken() else self.fleet.converge()
            assert not wrong and not self.broken(), (wrong, self.broken()[:3])
        finally:
            self.fleet.close()


class HostMachine(FaultMachine):
    """The faults, beside configurations and failovers, against a fleet of hosts."""

    fleet_class = ModelFleet

    @rule(withdraw=st.booleans())
    def configure(self, withdraw):
        """Let the operator write a configuration."""
        self.fleet.configure(withdraw=withdraw)

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

    @rule(host=hosts, wait=st.booleans())
    def withdraw_key(self, host, wait):
        """Let the operator withdraw the oldest key through a host, if `wait` until it answers."""
        self.fleet.withdraw_key(host, wait=wait)

    @rule(apart=st.sets(hosts), refused=st.sets(hosts), seconds=durations)
    def part(self, apart, refused, seconds):
        """Cut some hosts off from the rest, and let the store refuse some, for a time."""
        self.fleet.part(apart, refused, seconds)

    @rule(host=hosts)
    def change_level(self, host):
        """Let the operator change a setting through a host."""
        self.fleet.change_level(host)

    @rule(host=hosts, incarnation=st.sampled_from((1, FIRST_INCARNATION)))
    def restart_with_clock_set_back(self, host, incarnation):
        """Restart a host after its clock was set back."""
        self.fleet.restart(host, incarnation=incarnation)


class OrderMachine(FaultMachine):
    """The faults, beside lost and late orders and members that are away."""

    # A copy from before a promotion, all hosts restarted and the promoted member away leave nothing
    # that tells of it.
    restore = None

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        """Start the fleet."""
        self.fleet = OrderedFleet(seed=seed, hosts_report=True)

    @rule(
        way=ways_of_losing,
        seconds=durations,
        order=st.one_of(st.none(), order_faults),
        then=st.one_of(st.none(), ways_of_losing),
        others=st.booleans(),
        wait=waits,
    )
    def lose_primary(self, way, seconds, order, then, others, wait):
        """Lose the primary, and the member that is promoted instead, perhaps with the others."""
        fleet = self.fleet
        if then is not None:
            fleet.on_promoted.append(partial(self._lose_promoted, then, seconds, others))
        fleet.order_faults[:] = [order] if order else []
        getattr(fleet, way)(fleet.primary, seconds)
        fleet.advance(wait)

    @rule(way=ways_of_losing, member=members, seconds=durations)
    def lose_member(self, way, member, seconds):
        """Lose a member for a time."""
        getattr(self.fleet, way)(member, seconds)

    @rule(host=hosts, seconds=durations, wait=waits)
    def suspect(self, host, seconds, wait):
        """Cut the primary off from the hosts for a time, and let a host report it at once."""
        self.fleet.cut_member(self.fleet.primary, seconds)
        self.fleet.suspect(host)
        self.fleet.advance(wait)

    @rule(host=hosts)
    def suspect_wrongly(self, host):
        """Let a host report that the primary does not answer it."""
        self.fleet.suspect(host)

    @rule(seconds=durations, order=order_faults, wait=waits)
    def replace_primary(self, seconds, order, wait):
        """Let the primary report for a time that it is leaving, and an order be late or lost."""
        self.fleet.order_faults[:] = [order]
        self.fleet.leave(self.fleet.primary, seconds)
        self.fleet.advance(wait)

    @rule(order=order_faults)
    def delay_order(self, order):
        """Let an order be late or lost, or its answer, after those that are to be already."""
        self.fleet.order_faults.append(order)

    @rule(
        step=st.sampled_from(STEPS_OF_FAILOVERS),
        count=st.integers(1, 4),
        seconds=st.sampled_from((0.0, 0.5, 4.0)),
        all_hosts=st.booleans(),
    )
    def kill_at_step(self, step, count, seconds, all_hosts):
        """End the process that is the next to take a step of a failover, or all at that moment."""
        self.fleet.step_faults.append(
            StepFault(step=step, count=count, seconds=seconds, all_hosts=all_hosts)
        )

    @rule(
        step=st.sampled_from(CHECKED_STEPS),
        count=st.integers(1, 4),
        seconds=durations,
        all_hosts=st.booleans(),
    )
    def freeze_at_step(self, step, count, seconds, all_hosts):
        """Freeze the process that is the next to take a step of a failover, or all."""
        self.fleet.step_faults.append(
            StepFault(step=step, count=count, seconds=seconds, all_hosts=all_hosts, freezes=True)
        )

    def _lose_promoted(self, way, seconds, others, promoted):
        for member in MEMBERS if others else (promoted,):
            if member == promoted or self.fleet.members[member].role is Role.REPLICA:
                getattr(self.fleet, way)(member, seconds)


class TokenMachine(OrderMachine):
    """Orders whose tokens may not fall either."""

    def broken(self):
        """Return the promises that were seen broken."""
        return self.fleet.violations + self.fleet.fallen_tokens


MACHINES = {
    "hosts": HostMachine,
    "daemons": DaemonMachine,
    "orders": OrderMachine,
    "tokens": TokenMachine,
}


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
