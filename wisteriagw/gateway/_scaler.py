"""Orders of backend servers by the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from wisteriagw.gateway._authority_keeper import AuthorityKeeper
    from wisteriagw.gateway._configuration_feed import ConfigurationFeed
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.platform import DutyClient
    from wisteriagw.routes import Service

logger = logging.getLogger(__name__)

# An order shows in the register after the start of the server and a heartbeat.
SETTLE_SECONDS = 3.0
# Pause after an order that was refused, usually because none are to be had.
REFUSED_PAUSE_SECONDS = 2.0


class Scaler:
    """Keeps the number of reclaimable servers in each data centre."""

    def __init__(
        self,
        reactor: Any,
        duties: DutyClient,
        authority: AuthorityKeeper,
        configuration: ConfigurationFeed,
        fleet: FleetFeed,
    ) -> None:
        self._reactor = reactor
        self._duties = duties
        self._authority = authority
        self._configuration = configuration
        self._fleet = fleet
        self._quiet_until: dict[tuple[str, str], float] = {}

    async def run_turn(self) -> None:
        """Send the orders that are due, if this process holds the authority."""
        table = self._configuration.table
        if table is None or self._authority.get_fencing_number() is None:
            return
        for service in list(table.services.values()):
            if service.scaling is None or not service.scaling.reclaimable_price:
                continue
            for data_centre, _ in service.scaling.prices:
                await self._order(service, data_centre)

    async def _order(self, service: Service, data_centre: str) -> None:
        now = self._reactor.seconds()
        key = (service.name, data_centre)
        number = self._authority.get_fencing_number()
        if number is None or now < self._quiet_until.get(key, float("-inf")):
            return
        present = [
            server
            for server in self._fleet.fleet.list_service(service.name)
            if server.data_centre == data_centre
        ]
        dependable = sum(1 for server in present if not server.reclaimable)
        held = len(present) - dependable
        wanted = max(0, service.scaling.max_servers - dependable)
        if held >= wanted:
            return
        outcome = await self._duties.order_servers(
            service.name, data_centre, wanted, True, number
        )
        accepted = isinstance(outcome, Done) and outcome.status < 300
        pause = REFUSED_PAUSE_SECONDS
        if accepted:
            pause = service.scaling.startup_seconds + SETTLE_SECONDS
        self._quiet_until[key] = self._reactor.seconds() + pause
        logger.info(
            "ordered %d reclaimable servers of %s in %s, there are %d: %s",
            wanted,
            service.name,
            data_centre,
            held,
            outcome,
        )
