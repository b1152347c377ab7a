"""Close what a scenario opened; keep hypothesis on fixed seeds."""

from contextlib import ExitStack

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def before_scenario(context, scenario):
    """Open the scenario's stack."""
    context.stack = ExitStack()


def after_scenario(context, scenario):
    """Stop all that the scenario started."""
    context.stack.close()
