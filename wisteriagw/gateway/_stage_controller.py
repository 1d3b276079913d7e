"""Orders that change the stages of engines, by the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from wisteriagw.platform import is_done, is_unknown
from wisteriagw.roles import StagedEngine, plan_stages, update_peak

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._authority_controller import AuthorityController
    from wisteriagw.gateway._configuration_feed import ConfigurationFeed
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.notices import NoticeTable
    from wisteriagw.placement import WorkTable
    from wisteriagw.platform import DutyClient
    from wisteriagw.roles import StageChange
    from wisteriagw.routes import Service

logger = logging.getLogger(__name__)

# Added to the time of the change itself: running requests end first, and the register
# shows the new stage after a heartbeat.
CHANGE_OVERHEAD_SECONDS = 2.0
# The platform may carry out an order whose answer was lost up to this much later.
LATE_ORDER_SECONDS = 12.0
REFUSED_PAUSE_SECONDS = 2.0


class StageController:
    """Keeps the planned share of the engines in each stage."""

    def __init__(
        self,
        reactor: Any,
        duties: DutyClient,
        authority: AuthorityController,
        configuration: ConfigurationFeed,
        fleet: FleetFeed,
        work: WorkTable,
        notices: NoticeTable,
        announce: Callable[[str, float], None],
    ) -> None:
        self._reactor = reactor
        self._duties = duties
        self._authority = authority
        self._configuration = configuration
        self._fleet = fleet
        self._work = work
        self._notices = notices
        self._announce = announce
        self._ordered: dict[str, tuple[str, float]] = {}
        self._peaks: dict[str, float] = {}
        self._updated_at = reactor.seconds()

    async def run_cycle(self) -> None:
        """Send the order that is due, if this process holds the authority."""
        table = self._configuration.table
        if table is None:
            return
        now = self._reactor.seconds()
        elapsed, self._updated_at = now - self._updated_at, now
        for service in list(table.services.values()):
            if service.engine is None:
                continue
            engines = self._list_engines(service)
            # Every VM tracks the peak, so that a new holder of the authority has it.
            streams = sum(e.streams for e in engines if e.stage != "prefill")
            peak = update_peak(self._peaks.get(service.name, 0.0), streams, elapsed)
            self._peaks[service.name] = peak
            if self._authority.get_fencing_number() is None:
                continue
            change = plan_stages(engines, peak, service.engine.slots)
            if change is not None:
                await self._send(service, change)

    def _list_engines(self, service: Service) -> list[StagedEngine]:
        now = self._reactor.seconds()
        servers = [s for s in self._fleet.fleet.list_service(service.name) if s.stage]
        engines = []
        for view, server in zip(
            self._work.list_views(servers, None, now), servers, strict=True
        ):
            stage, until = self._ordered.get(server.name, ("", float("-inf")))
            pending = now < until and stage != server.stage
            if now >= until:
                self._ordered.pop(server.name, None)
            engines.append(
                StagedEngine(
                    server.name,
                    server.data_centre,
                    stage if pending and stage else server.stage,
                    view.streams,
                    pending,
                    self._notices.get_rate_limit(server) is not None,
                )
            )
        return engines

    async def _send(self, service: Service, change: StageChange) -> None:
        fencing_number = self._authority.get_fencing_number()
        server = self._fleet.fleet.servers.get(change.engine)
        if fencing_number is None or server is None:
            return
        unavailable_seconds = (
            service.engine.stage_switch_seconds + CHANGE_OVERHEAD_SECONDS
        )
        # Notify the other VMs before the engine begins to refuse their requests.
        self._announce(server.name, unavailable_seconds)
        outcome = await self._duties.order_stage(
            server.address, server.name, change.stage, fencing_number
        )
        now = self._reactor.seconds()
        if is_done(outcome):
            self._ordered[server.name] = (change.stage, now + unavailable_seconds)
        elif is_unknown(outcome):
            self._ordered[server.name] = (change.stage, now + LATE_ORDER_SECONDS)
        else:
            self._announce(server.name, 0.0)
            self._ordered[server.name] = (server.stage, now + REFUSED_PAUSE_SECONDS)
        logger.info(
            "order to %s to change to %s with number %d: %s",
            change.engine,
            change.stage,
            fencing_number,
            outcome,
        )
