"""Steps of pairs of faults."""

from behave import then

from features.soak import run_seeds


@then("the promises hold through seeds {first:d} to {last:d}")
def step_seeds(context, first, last):
    for line in run_seeds(first, last - first + 1):
        print(line)
