"""Decision about the servers to order and release, from the forecast load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.spending._server_order import ServerOrder
from wisteriagw.spending._spending_decision import SpendingDecision
from wisteriagw.spending._target import choose_target

if TYPE_CHECKING:
    from wisteriagw.spending._data_centre_offer import DataCentreOffer
    from wisteriagw.spending._fleet_target import FleetTarget
    from wisteriagw.spending._owned_server import OwnedServer
    from wisteriagw.spending._spending_view import SpendingView

# Ordering a released server again costs its start-up time, so a surplus is kept for
# longer than one swing of the load.
RELEASE_DELAY_SECONDS = 60.0
FORECAST_VALID_SECONDS = 30.0
# Releases must leave enough servers for a slightly higher load.
RELEASE_MARGIN = 1.08
# Releases per decision; the load must reflect each release before the next.
MAX_RELEASES = 1


def plan_spending(view: SpendingView, now: float) -> SpendingDecision:
    """Return the orders and releases that lead to the cheapest sufficient fleet."""
    if now - view.forecast_at > FORECAST_VALID_SECONDS:
        return SpendingDecision((), (), "no recent forecast, the fleet is unchanged")
    reclaimable_offers = [offer for offer in view.offers if offer.reclaimable_available]
    reclaimable_price = max(
        (offer.reclaimable_price for offer in reclaimable_offers), default=0.0
    )
    dependable_price = min(offer.dependable_price for offer in view.offers)
    held = [server for server in view.servers if not server.leaving]
    # Data centres with reclaimable servers count for the spread even if no more are
    # available there.
    data_centres = {offer.data_centre for offer in reclaimable_offers}
    data_centres |= {server.data_centre for server in held if server.reclaimable}
    target, rejected = choose_target(
        view.load,
        view.nonrepeatable_load,
        len(data_centres),
        (reclaimable_price, dependable_price),
    )
    reclaimable = [server for server in held if server.reclaimable]
    dependable = [server for server in held if not server.reclaimable]
    target = limit_target(target, view.max_servers)
    orders = list_orders(view, reclaimable, target, reclaimable=True)
    missing = (
        target.reclaimable - len(reclaimable) - sum(order.count for order in orders)
    )
    if missing > 0:
        # Reclaimable servers are not available: dependable ones are ordered instead.
        target = target._replace(dependable=target.dependable + missing)
    orders += list_orders(view, dependable, target, reclaimable=False)
    settled = not orders and all(server.up for server in held)
    releases: tuple[str, ...] = ()
    if settled and now - view.sufficient_since >= RELEASE_DELAY_SECONDS:
        release_target, _ = choose_target(
            view.load * RELEASE_MARGIN,
            view.nonrepeatable_load,
            len(data_centres),
            (reclaimable_price, dependable_price),
        )
        releases = list_releases(
            reclaimable, dependable, limit_target(release_target, view.max_servers)
        )
    reason = f"load {view.load:.2f}, {view.nonrepeatable_load:.2f} of it not repeatable"
    return SpendingDecision(tuple(orders), releases, reason, target, rejected)


def limit_target(target: FleetTarget, max_servers: int) -> FleetTarget:
    """Return a target within the platform's limit, with fewer reclaimable servers."""
    reclaimable = max(0, min(target.reclaimable, max_servers - target.dependable))
    return target._replace(reclaimable=reclaimable)


def list_orders(
    view: SpendingView,
    held: list[OwnedServer],
    target: FleetTarget,
    *,
    reclaimable: bool,
) -> list[ServerOrder]:
    """Return the orders for one kind, in the data centres with the fewest servers."""
    counts = {
        offer.data_centre: 0
        for offer in view.offers
        if offer.reclaimable_available or not reclaimable
    }
    if not counts:
        return []
    for server in held:
        if server.data_centre in counts:
            counts[server.data_centre] += 1
    ordered: dict[str, int] = {}
    wanted = target.reclaimable if reclaimable else target.dependable
    for _ in range(max(0, wanted - len(held))):
        data_centre = min(
            counts,
            key=lambda name: (counts[name], get_dependable_price(view, name), name),
        )
        counts[data_centre] += 1
        ordered[data_centre] = ordered.get(data_centre, 0) + 1
    return [
        ServerOrder(data_centre, reclaimable, count)
        for data_centre, count in ordered.items()
    ]


def get_dependable_price(view: SpendingView, data_centre: str) -> float:
    """Return the price of a dependable server in a data centre."""
    return find_offer(view, data_centre).dependable_price


def find_offer(view: SpendingView, data_centre: str) -> DataCentreOffer:
    """Return the offer of a data centre."""
    for offer in view.offers:
        if offer.data_centre == data_centre:
            return offer
    raise KeyError(data_centre)


def list_releases(
    reclaimable: list[OwnedServer], dependable: list[OwnedServer], target: FleetTarget
) -> tuple[str, ...]:
    """Return the servers to release: dependable ones and fullest data centres first."""
    releases: list[str] = []
    for held, wanted in (
        (dependable, target.dependable),
        (reclaimable, target.reclaimable),
    ):
        counts: dict[str, int] = {}
        for server in held:
            counts[server.data_centre] = counts.get(server.data_centre, 0) + 1
        excess = max(0, len(held) - wanted)
        ranked = sorted(
            held,
            key=lambda server: (
                -counts[server.data_centre],
                server.running_streams,
                server.name,
            ),
        )
        releases.extend(server.name for server in ranked[:excess])
    return tuple(releases[:MAX_RELEASES])
