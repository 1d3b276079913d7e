"""Decision which servers are ordered and given back."""

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

# A server that is given back and ordered again costs its start, so it is held for more
# than one swing of the load.
HOLD_SECONDS = 60.0
FORECAST_VALID_SECONDS = 30.0
# What is given back must not be missed at a load that is a little higher.
RETURN_MARGIN = 1.08
# At most this many are given back in one decision, so that each return is seen in the
# load before the next.
MAX_RETURNS = 1


def plan_spending(view: SpendingView, now: float) -> SpendingDecision:
    """Return the orders and returns that lead to the cheapest sufficient fleet."""
    if now - view.forecast_at > FORECAST_VALID_SECONDS:
        return SpendingDecision((), (), "the load is not known, the fleet stays")
    cheap_offers = [offer for offer in view.offers if offer.cheap_available]
    cheap_price = max((offer.cheap_price for offer in cheap_offers), default=0.0)
    dependable_price = min(offer.dependable_price for offer in view.offers)
    held = [server for server in view.servers if not server.leaving]
    # Cheap servers that are still held count as places to be spread over, even if no
    # more are to be had there.
    centres = {offer.data_centre for offer in cheap_offers}
    centres |= {server.data_centre for server in held if server.reclaimable}
    target, lost = choose_target(
        view.load, view.load_once, len(centres), (cheap_price, dependable_price)
    )
    cheap = [server for server in held if server.reclaimable]
    dependable = [server for server in held if not server.reclaimable]
    target = limit_target(target, view.max_servers)
    orders = list_orders(view, cheap, target, cheap=True)
    missing = target.cheap - len(cheap) - sum(order.count for order in orders)
    if missing > 0:
        # Cheap servers are not to be had: dependable ones take their place.
        target = target._replace(dependable=target.dependable + missing)
    orders += list_orders(view, dependable, target, cheap=False)
    settled = not orders and all(server.up for server in held)
    returns: tuple[str, ...] = ()
    if settled and now - view.enough_since >= HOLD_SECONDS:
        kept, _ = choose_target(
            view.load * RETURN_MARGIN,
            view.load_once,
            len(centres),
            (cheap_price, dependable_price),
        )
        returns = list_returns(cheap, dependable, limit_target(kept, view.max_servers))
    reason = f"load {view.load:.2f}, of it {view.load_once:.2f} once only"
    return SpendingDecision(tuple(orders), returns, reason, target, lost)


def limit_target(target: FleetTarget, max_servers: int) -> FleetTarget:
    """Return a target within the platform's limit, with fewer cheap servers."""
    cheap = max(0, min(target.cheap, max_servers - target.dependable))
    return target._replace(cheap=cheap)


def list_orders(
    view: SpendingView, held: list[OwnedServer], target: FleetTarget, *, cheap: bool
) -> list[ServerOrder]:
    """Return the orders that fill one kind, in the data centres with the fewest."""
    counts = {
        offer.data_centre: 0
        for offer in view.offers
        if offer.cheap_available or not cheap
    }
    if not counts:
        return []
    for server in held:
        if server.data_centre in counts:
            counts[server.data_centre] += 1
    ordered: dict[str, int] = {}
    wanted = target.cheap if cheap else target.dependable
    for _ in range(max(0, wanted - len(held))):
        place = min(counts, key=lambda name: (counts[name], price_of(view, name), name))
        counts[place] += 1
        ordered[place] = ordered.get(place, 0) + 1
    return [ServerOrder(place, cheap, count) for place, count in ordered.items()]


def price_of(view: SpendingView, data_centre: str) -> float:
    """Return the price of a dependable server in a data centre."""
    return find_offer(view, data_centre).dependable_price


def find_offer(view: SpendingView, data_centre: str) -> DataCentreOffer:
    """Return the offer of a data centre."""
    for offer in view.offers:
        if offer.data_centre == data_centre:
            return offer
    raise KeyError(data_centre)


def list_returns(
    cheap: list[OwnedServer], dependable: list[OwnedServer], target: FleetTarget
) -> tuple[str, ...]:
    """Return the servers to give back, dearest kind and fullest places first."""
    returns: list[str] = []
    for held, wanted in ((dependable, target.dependable), (cheap, target.cheap)):
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
        returns.extend(server.name for server in ranked[:excess])
    return tuple(returns[:MAX_RETURNS])
