"""Scenarios by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.measure._phase import Phase
from wisteriagw.measure._scenario import Scenario
from wisteriagw.measure.faults import DrainFault, LogFault, ReclaimFault, ReportFault

if TYPE_CHECKING:
    from collections.abc import Callable


def build_steady(load: float) -> Scenario:
    """Return a scenario with constant load and no faults."""
    return Scenario((Phase(120.0, load),))


def build_mix_shift(load: float) -> Scenario:
    """Return a scenario in which the prefill share rises and falls again."""
    phases = (
        Phase(50.0, load),
        Phase(60.0, load, 0.2, 0.7),
        Phase(70.0, load, 0.7, 0.7),
        Phase(60.0, load, 0.7, 0.2),
        Phase(60.0, load),
    )
    return Scenario(phases)


def build_flood(load: float) -> Scenario:
    """Return a scenario in which one large customer exceeds its share."""
    calm = min(load, 0.6)
    phases = (Phase(30.0, calm), Phase(90.0, load, flood=True), Phase(30.0, calm))
    return Scenario(phases)


def build_data_centre_loss(load: float) -> Scenario:
    """Return a scenario in which a data centre's reclaimable servers are reclaimed."""
    faults = ((40.0, ReclaimFault("dc2")),)
    return Scenario((Phase(150.0, load),), faults, orders=True)


def build_stale_reports(load: float) -> Scenario:
    """Return a scenario with load reports that stop or lag by over 10 s."""
    return Scenario((Phase(120.0, load),), ((30.0, ReportFault(60.0)),))


def build_log_outage(load: float) -> Scenario:
    """Return a scenario in which the log is down while the prefill share changes."""
    phases = (
        Phase(40.0, load),
        Phase(40.0, load, 0.2, 0.4),
        Phase(70.0, load, 0.4, 0.2),
    )
    return Scenario(phases, ((30.0, LogFault(80.0)),))


def build_drain(load: float) -> Scenario:
    """Return a scenario in which backend servers are drained one after the other."""
    faults = ((30.0, DrainFault(0)), (75.0, DrainFault(1)), (120.0, DrainFault(6)))
    return Scenario((Phase(170.0, load),), faults)


# Each scenario with its default load, relative to capacity.
SCENARIOS: dict[str, tuple[Callable[[float], Scenario], float]] = {
    "steady": (build_steady, 0.8),
    "mix-shift": (build_mix_shift, 0.8),
    "flood": (build_flood, 1.5),
    "data-centre-loss": (build_data_centre_loss, 0.6),
    "stale-reports": (build_stale_reports, 0.7),
    "log-outage": (build_log_outage, 0.7),
    "drain": (build_drain, 0.6),
}


def build_scenario(name: str, load: float | None) -> Scenario:
    """Return a scenario by name; ``day`` is all of them in sequence.

    For ``day``, the default load of each scenario is multiplied by ``load / 0.8``.
    """
    if name != "day":
        build, default_load = SCENARIOS[name]
        return build(default_load if load is None else load)
    phases: list[Phase] = []
    faults = []
    start = 0.0
    factor = 1.0 if load is None else load / 0.8
    for build, default_load in SCENARIOS.values():
        part = build(default_load * factor)
        faults += [(start + at, fault) for at, fault in part.faults]
        phases += part.phases
        start += sum(phase.seconds for phase in part.phases)
    return Scenario(tuple(phases), tuple(faults), orders=True)
