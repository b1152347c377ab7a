"""Steps for models of the fleet whose store comes back from older copies."""

from behave import then

from features.check import MACHINES, play


@then(
    "{count:d} random runs of {machine} from seed {first_seed:d} break no promise, "
    "and all agree in the end"
)
def step_random_runs(context, count, machine, first_seed):
    play(MACHINES[machine], count, first_seed)
