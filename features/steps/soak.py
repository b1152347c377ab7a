"""Steps for the soak test with pairs of faults."""

from behave import then

from features.soak import run_seeds


@then("writes resume and all outcomes are correct with seeds {first:d} to {last:d}")
def step_seeds(context, first, last):
    for line in run_seeds(first, last - first + 1):
        print(line)
