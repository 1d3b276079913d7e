"""Set-up of the scenarios: programs started by a scenario are killed after it."""

from __future__ import annotations

from features.steps._programs import Programs


def before_scenario(context, scenario) -> None:
    """Create the programs of the scenario."""
    context.programs = Programs()


def after_scenario(context, scenario) -> None:
    """Kill the programs of the scenario, by their process ids."""
    context.programs.kill_all()
