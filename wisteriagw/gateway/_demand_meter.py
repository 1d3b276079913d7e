"""Measurement of the demand that comes to this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._demand_row import DemandRow, add_rows, decay_row

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._engine_rate_table import EngineRateTable
    from wisteriagw.placement import Plan, Prompt
    from wisteriagw.routes import Service

# Rows below this sum have no influence on the number of servers.
MIN_ROW_SUM = 1e-3


class DemandMeter:
    """Counts what requests need when they arrive, whether they are served or refused.

    The demand seen in the open work alone is what a fleet that is too small lets in.
    """

    def __init__(self, read_time: Callable[[], float], rates: EngineRateTable) -> None:
        self._read_time = read_time
        self._rates = rates
        self._rows: dict[str, tuple[float, DemandRow]] = {}

    def record_placement(
        self, service: Service, prompt: Prompt | None, plan: Plan | None
    ) -> None:
        """Record a new request and its plan, None if no server can take it."""
        if plan is None:
            self.record_refusal(service.name)
        if service.engine is None or prompt is None:
            return
        tokens = prompt.tokens if plan is None else plan.uncached_tokens
        seconds = tokens / self._rates.get(service.name).tokens_per_second
        self._add(service.name, DemandRow(prefill_seconds=seconds))

    def record_refusal(self, service: str) -> None:
        """Record a request that no server could take in time."""
        seconds = self._rates.get(service).stream_seconds
        self._add(service, DemandRow(refused=1.0, refused_seconds=seconds))

    def list_rows(self, now: float) -> dict[str, DemandRow]:
        """Return the decayed demand by service."""
        rows = {}
        for service, (at, row) in list(self._rows.items()):
            decayed = decay_row(row, now - at)
            if sum(decayed) < MIN_ROW_SUM:
                del self._rows[service]
                continue
            rows[service] = decayed
        return rows

    def _add(self, service: str, added: DemandRow) -> None:
        now = self._read_time()
        at, row = self._rows.get(service, (now, DemandRow()))
        self._rows[service] = (now, add_rows(decay_row(row, now - at), added))
