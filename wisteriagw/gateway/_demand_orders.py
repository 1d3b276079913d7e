"""Orders for services whose number of servers follows the demand."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.gateway._centre_orders import CentreOrders
from wisteriagw.platform import is_done, is_unknown
from wisteriagw.spending import (
    CentreOrder,
    choose_centre_target,
    plan_centre,
)

if TYPE_CHECKING:
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._demand_monitor import DemandMonitor
    from wisteriagw.outcomes import Outcome
    from wisteriagw.routes import Service
    from wisteriagw.spending import CentreTarget, DataCentreCapacity

logger = logging.getLogger(__name__)

# A server that is not needed for this long is released, one in each data centre.
RELEASE_DELAY_SECONDS = 10.0
# Time after the start of a server until the register shows it.
REGISTRATION_SECONDS = 2.0
# Starts after which missing servers count as not available in their data centre; one
# start may be slow.
LACKING_STARTS = 2
# Seconds that failures add to the estimate of a server that counts as failing; those of
# a single failure have decayed to this after some seconds.
MIN_FAILURE_PENALTY_SECONDS = 0.1


class DemandOrders:
    """Plans orders by the recent demand while this process holds the authority."""

    def __init__(self, context: GatewayContext, monitor: DemandMonitor) -> None:
        self._context = context
        self._monitor = monitor
        self._fencing_number: int | None = None
        self._held_since = 0.0
        self._centres: dict[tuple[str, str], CentreOrders] = {}
        self._targets: dict[str, CentreTarget] = {}

    def track_authority(self, fencing_number: int | None) -> None:
        """Forget the orders when another term begins: others may have followed them."""
        if fencing_number == self._fencing_number:
            return
        self._fencing_number = fencing_number
        self._held_since = self._context.reactor.seconds()
        self._centres.clear()
        for service in self._targets:
            self._context.metrics.scaling_target.labels(service).set(0)
        self._targets.clear()

    def plan(
        self, service: Service, capacities: list[DataCentreCapacity]
    ) -> list[CentreOrder]:
        """Return the orders that are due for a service."""
        now = self._context.reactor.seconds()
        target = self._choose_target(service, capacities, now)
        is_calm = self._is_calm(service, now)
        orders = []
        for capacity in capacities:
            may_release = self._update_centre(service, capacity, target.count, now)
            for order in plan_centre(
                capacity,
                target.count,
                service.scaling.max_servers,
                service.scaling.reclaimable_price,
                may_release and is_calm,
            ):
                if not self._is_awaited(service, capacity, order, now):
                    orders.append(order)
        return orders

    def is_increase(self, service: Service, order: CentreOrder) -> bool:
        """Return whether an order asks for more servers than the latest one."""
        if order.reclaimable is not prefers_reclaimable(service):
            return False
        key = (service.name, order.data_centre)
        centre = self._centres.get(key, CentreOrders())
        return order.count > centre.asked

    def record(
        self,
        service: Service,
        capacity: DataCentreCapacity,
        order: CentreOrder,
        outcome: Outcome,
    ) -> None:
        """Record the outcome of an order."""
        key = (service.name, order.data_centre)
        centre = self._centres.get(key, CentreOrders())
        now = self._context.reactor.seconds()
        registered = capacity.dependable + capacity.reclaimable
        if order.reclaimable is not prefers_reclaimable(service):
            return
        centre = centre._replace(asked=order.count)
        if order.count < get_kind_count(capacity, order):
            # Also without an answer: the order may be carried out later.
            centre = centre._replace(released_at=now, needed_at=now)
        if is_done(outcome) or is_unknown(outcome):
            centre = centre._replace(
                count=order.count if is_done(outcome) else 0,
                ordered_at=now,
                registered=registered,
            )
        self._centres[key] = centre

    def _choose_target(
        self, service: Service, capacities: list[DataCentreCapacity], now: float
    ) -> CentreTarget:
        terms = service.scaling
        patience = LACKING_STARTS * terms.startup_seconds + REGISTRATION_SECONDS
        supplied = 0
        for capacity in capacities:
            centre = self._centres.get((service.name, capacity.data_centre))
            since = None if centre is None else centre.lacking_since
            refused = capacity.refused_seconds > 0
            supplied += since is None or not (refused or now - since >= patience)
        target = choose_centre_target(
            self._monitor.get_history(service.name),
            (terms.min_servers, terms.max_servers),
            supplied,
            now - self._held_since,
            now,
        )
        known = self._targets.get(service.name)
        if known is None or known.count != target.count:
            logger.info(
                "target of %s: %d servers in each of %d data centres, %d of them"
                " supplied, for a peak of %.2f busy servers: %s",
                service.name,
                target.count,
                len(capacities),
                supplied,
                target.peak,
                target.reason,
            )
        self._targets[service.name] = target
        gauge = self._context.metrics.scaling_target.labels(service.name)
        gauge.set(target.count * len(capacities))
        return target

    def _update_centre(
        self, service: Service, capacity: DataCentreCapacity, target: int, now: float
    ) -> bool:
        """Track the servers of a data centre; return whether one may be released."""
        key = (service.name, capacity.data_centre)
        centre = self._centres.get(key, CentreOrders(needed_at=now))
        registered = capacity.dependable + capacity.reclaimable
        starting = (
            centre.count > registered
            and now - centre.ordered_at
            < service.scaling.startup_seconds + REGISTRATION_SECONDS
        )
        if registered <= target or starting:
            centre = centre._replace(needed_at=now)
        centre = centre._replace(registered=max(registered, centre.registered))
        if registered >= target:
            centre = centre._replace(lacking_since=None)
        elif centre.lacking_since is None:
            centre = centre._replace(lacking_since=now)
        self._centres[key] = centre
        latest = max(centre.needed_at, centre.released_at)
        return now - latest >= RELEASE_DELAY_SECONDS

    def _is_awaited(
        self,
        service: Service,
        capacity: DataCentreCapacity,
        order: CentreOrder,
        now: float,
    ) -> bool:
        """Return whether servers of the same order are still starting.

        If some were lost since, the order is repeated: the platform may have carried
        out an earlier one late.
        """
        centre = self._centres[(service.name, order.data_centre)]
        registered = capacity.dependable + capacity.reclaimable
        if order.reclaimable is not prefers_reclaimable(service):
            return False
        if order.count != centre.count or registered < centre.registered:
            return False
        seconds = service.scaling.startup_seconds + REGISTRATION_SECONDS
        return now - centre.ordered_at < seconds

    def _is_calm(self, service: Service, now: float) -> bool:
        """Return whether no server of a service is failing, leaving or limited."""
        context = self._context
        notices = context.notices.table
        for server in context.fleet.fleet.servers.values():
            if server.service != service.name:
                continue
            if server.leaving or notices.find_pause(server, now):
                return False
            if notices.get_rate_limit(server) is not None:
                return False
            penalty = context.work.get_failure_penalty(server.name, now)
            if penalty >= MIN_FAILURE_PENALTY_SECONDS:
                return False
        return True


def prefers_reclaimable(service: Service) -> bool:
    """Return whether reclaimable servers of a service exist and are cheaper."""
    return 0 < service.scaling.reclaimable_price < 1


def get_kind_count(capacity: DataCentreCapacity, order: CentreOrder) -> int:
    """Return the servers of the kind that an order is for."""
    return capacity.reclaimable if order.reclaimable else capacity.dependable
