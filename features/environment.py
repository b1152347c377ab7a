"""Behave hooks: release each scenario's resources and make hypothesis deterministic."""

from contextlib import ExitStack

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def before_scenario(context, scenario):
    """Open the exit stack on which steps register what they start."""
    context.stack = ExitStack()


def after_scenario(context, scenario):
    """Stop everything that the scenario registered on its exit stack."""
    context.stack.close()
