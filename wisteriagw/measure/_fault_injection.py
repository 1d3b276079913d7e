"""Effects of the faults on the simulation."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.measure.faults import (
    DrainFault,
    LogFault,
    PartitionFault,
    ReclaimFault,
    ReportFault,
)

if TYPE_CHECKING:
    from wisteriagw.measure._simulation import Simulation


@singledispatch
def inject_fault(fault: Any, simulation: Simulation) -> None:
    """Start a fault and schedule its end."""
    raise TypeError(f"unknown fault {fault!r}")


@inject_fault.register(ReclaimFault)
def _(fault: ReclaimFault, simulation: Simulation) -> None:
    control, events = simulation.control, simulation.events
    simulation.reclaimable_unavailable_until[fault.data_centre] = (
        events.now + fault.seconds
    )
    for server in list(simulation.servers.values()):
        affected = server.reclaimable and server.data_centre == fault.data_centre
        if not affected or not server.up:
            continue
        server.leaving = True
        simulation.send_view(server)
        if simulation.policy.migrate_streams and server.serves == "model":
            events.add(fault.notice - 1.0, control.migrate_streams, server)
        events.add(fault.notice, control.end_server, server)


@inject_fault.register(DrainFault)
def _(fault: DrainFault, simulation: Simulation) -> None:
    servers = list(simulation.servers.values())
    server = servers[fault.index % len(servers)]
    if server.up and not server.leaving:
        simulation.control.drain(server, simulation.control.restart, fault.seconds)


@inject_fault.register(LogFault)
def _(fault: LogFault, simulation: Simulation) -> None:
    simulation.control.paused_until = simulation.events.now + fault.seconds


@inject_fault.register(PartitionFault)
def _(fault: PartitionFault, simulation: Simulation) -> None:
    until = simulation.events.now + fault.seconds
    simulation.partitions[fault.data_centre] = until


@inject_fault.register(ReportFault)
def _(fault: ReportFault, simulation: Simulation) -> None:
    names = list(simulation.servers)
    simulation.lost_reports = set(names[::2])
    simulation.extra_report_lag = fault.extra_lag
    simulation.events.add(fault.seconds, end_report_fault, simulation)


def end_report_fault(simulation: Simulation) -> None:
    """Restore normal delivery of load reports."""
    simulation.lost_reports = set()
    simulation.extra_report_lag = 0.0
