"""Orders of backend servers by the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from wisteriagw.platform import is_done, is_none_available
from wisteriagw.spending import DataCentreCapacity, plan_capacity

if TYPE_CHECKING:
    from wisteriagw.gateway._authority_controller import AuthorityController
    from wisteriagw.gateway._configuration_feed import ConfigurationFeed
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.outcomes import Outcome
    from wisteriagw.platform import DutyClient
    from wisteriagw.routes import Service
    from wisteriagw.spending import CentreOrder

logger = logging.getLogger(__name__)

# An order states the wanted number of servers, not a difference, so it may be
# repeated. The platform reduces an order while servers of the other kind have not left
# yet, and refuses it while none are available.
ORDER_PAUSE_SECONDS = 2.0


class Scaler:
    """Orders and releases servers to keep the planned number of them."""

    def __init__(
        self,
        reactor: Any,
        duties: DutyClient,
        authority: AuthorityController,
        configuration: ConfigurationFeed,
        fleet: FleetFeed,
    ) -> None:
        self._reactor = reactor
        self._duties = duties
        self._authority = authority
        self._configuration = configuration
        self._fleet = fleet
        self._paused_until: dict[tuple[str, str, bool], float] = {}
        # When orders for reclaimable servers began to be refused, by service and data
        # centre; None while they are accepted.
        self._refused_since: dict[tuple[str, str], float | None] = {}

    async def run_cycle(self) -> None:
        """Send the orders that are due, if this process holds the authority."""
        table = self._configuration.table
        if table is None:
            return
        for service in list(table.services.values()):
            if service.scaling is None:
                continue
            capacities = self._list_capacities(service)
            orders = plan_capacity(
                capacities,
                service.scaling.max_servers,
                service.scaling.reclaimable_price,
            )
            for order in orders:
                await self._send(service, order)

    def _list_capacities(self, service: Service) -> list[DataCentreCapacity]:
        counts: dict[str, list[int]] = {}
        for server in self._fleet.fleet.list_service(service.name):
            kind_counts = counts.setdefault(server.data_centre, [0, 0])
            kind_counts[server.reclaimable] += 1
        now = self._reactor.seconds()
        capacities = []
        for data_centre, _ in service.scaling.prices:
            key = (service.name, data_centre)
            refused_at = self._refused_since.get(key)
            capacities.append(
                DataCentreCapacity(
                    data_centre,
                    *counts.get(data_centre, (0, 0)),
                    accepted=key in self._refused_since and refused_at is None,
                    refused_seconds=0.0 if refused_at is None else now - refused_at,
                )
            )
        return capacities

    async def _send(self, service: Service, order: CentreOrder) -> None:
        key = (service.name, order.data_centre, order.reclaimable)
        now = self._reactor.seconds()
        fencing_number = self._authority.get_fencing_number()
        if fencing_number is None or now < self._paused_until.get(key, float("-inf")):
            return
        outcome = await self._duties.order_servers(
            service.name,
            order.data_centre,
            order.count,
            order.reclaimable,
            fencing_number,
        )
        self._paused_until[key] = self._reactor.seconds() + ORDER_PAUSE_SECONDS
        if order.reclaimable:
            self._record_outcome((service.name, order.data_centre), outcome)
        logger.info(
            "order %s of %s with number %d: %s",
            order,
            service.name,
            fencing_number,
            outcome,
        )

    def _record_outcome(self, key: tuple[str, str], outcome: Outcome) -> None:
        if is_done(outcome):
            self._refused_since[key] = None
        elif is_none_available(outcome) and self._refused_since.get(key) is None:
            self._refused_since[key] = self._reactor.seconds()
