"""Set-up of the scenarios: programs that a scenario starts end with it."""

from __future__ import annotations

from features.steps._programs import Programs


def before_scenario(context, scenario) -> None:
    """Give each scenario its own programs."""
    context.programs = Programs()


def after_scenario(context, scenario) -> None:
    """End the programs of the scenario, by their process ids."""
    context.programs.stop_all()
