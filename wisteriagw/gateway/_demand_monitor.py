"""Demand of all VMs, as every VM knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._demand_row import (
    TIME_CONSTANT_SECONDS,
    DemandRow,
    add_rows,
)
from wisteriagw.roles import StageNeed
from wisteriagw.spending import (
    DemandHistory,
    ServiceDemand,
    find_peak,
    follows_demand,
    update_history,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.routes import Service

TABLE_NAME = "demand"
# Key of the row that counts the VMs whose demand is in the sums.
VMS_KEY = ""
# With less of the VMs in the sums the demand is unknown. A fifth of the demand raises
# the utilization from 0.5 to 0.6, and a single VM that ended without notice may be
# missing for long.
MIN_KNOWN_FRACTION = 0.8
NO_HISTORY = DemandHistory()


class DemandMonitor:
    """Keeps the recent demand by service, so that a new holder of the authority has it.

    Parameters
    ----------
    count_vms : callable
        Returns the number of registered VMs, this one included.
    """

    def __init__(self, context: GatewayContext, count_vms: Callable[[], int]) -> None:
        self._context = context
        self._count_vms = count_vms
        self._histories: dict[str, DemandHistory] = {}
        context.sums.register(TABLE_NAME, self._list_rows)

    def get_history(self, service: str) -> DemandHistory:
        """Return the demand for a service in the last minute."""
        return self._histories.get(service, NO_HISTORY)

    def find_stage_need(self, service: Service) -> StageNeed | None:
        """Return the work of both stages, or None if it does not decide the split."""
        if service.scaling is None or not follows_demand(service.scaling.max_servers):
            return None
        history = self.get_history(service.name)
        if not history.peaks:
            return None
        peak = find_peak(history)
        return StageNeed(peak.prefill, peak.streams)

    def observe(self) -> None:
        """Take a sample of the demand for each service that follows it."""
        services = list(self._list_services())
        if not services:
            return
        context = self._context
        now = context.reactor.seconds()
        others = context.sums.get_others(TABLE_NAME, now)
        known_vms = 1 + sum(others.get(VMS_KEY, ()))
        known = known_vms >= MIN_KNOWN_FRACTION * self._count_vms()
        own = context.demand.list_rows(now)
        for service in services:
            row = add_rows(
                own.get(service.name, DemandRow()),
                decode_row(others.get(service.name, ())),
            )
            demand = self._measure(service, row, now) if known else None
            history = update_history(self.get_history(service.name), demand, now)
            self._histories[service.name] = history
            peak = find_peak(history)
            gauge = context.metrics.scaling_peak.labels(service.name)
            gauge.set(peak.prefill + peak.streams)

    def _measure(self, service: Service, row: DemandRow, now: float) -> ServiceDemand:
        context = self._context
        # Servers that are leaving still run requests that others have to take next.
        servers = [
            server
            for server in context.fleet.fleet.servers.values()
            if server.service == service.name
        ]
        slots = max((server.slots for server in servers), default=1)
        streams = row.refused_seconds / TIME_CONSTANT_SECONDS / slots
        counts = {name: count for name, _, count in context.work.sum_work(now)}
        for server in servers:
            if server.stage != "prefill":
                streams += counts.get(server.name, 0.0) / server.slots
        prefill = row.prefill_seconds / TIME_CONSTANT_SECONDS
        return ServiceDemand(prefill, streams, row.refused)

    def _list_services(self) -> Iterator[Service]:
        table = self._context.configuration.table
        for service in () if table is None else table.services.values():
            if service.scaling is None:
                continue
            if follows_demand(service.scaling.max_servers):
                yield service

    def _list_rows(self, now: float) -> Iterator[tuple[str, tuple[float, ...]]]:
        names = {service.name for service in self._list_services()}
        if not names:
            return
        yield VMS_KEY, (1.0,)
        for service, row in self._context.demand.list_rows(now).items():
            if service in names:
                yield service, tuple(row)


def decode_row(values: tuple[float, ...]) -> DemandRow:
    """Return the row of a sum; one of another length, as of another build, is empty."""
    return DemandRow(*values) if len(values) == len(DemandRow._fields) else DemandRow()
