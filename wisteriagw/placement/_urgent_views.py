"""Views of backend servers as a request of the most urgent rank meets them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._engine_rates import DECODE_STAGE_FACTOR
from wisteriagw.placement._load_admission import PATIENCE_TARGET_FACTOR

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wisteriagw.placement._engine_rates import EngineRates
    from wisteriagw.placement._server_view import ServerView

# Part of the slots that urgent streams may hold while they overtake. A less urgent
# stream joins a queue of one target at most, and its caller waits for four at least;
# with a quarter of the slots it starts within that although urgent ones take the rest.
URGENT_SLOT_FRACTION = 1 - 1 / PATIENCE_TARGET_FACTOR
NO_WORK = (0.0, 0.0)


def view_as_urgent(
    views: Sequence[ServerView],
    urgent_work: Mapping[str, tuple[float, float]],
    rates: EngineRates,
) -> list[ServerView]:
    """Return the views with the work that an urgent request waits for.

    Load: more requests arrive for some seconds than the engines can run. Engines admit
    the more urgent ones first, so those are not refused because of a queue that they
    overtake.

    Parameters
    ----------
    urgent_work : mapping of str to tuple of float
        Waiting prompt tokens and open streams of urgent requests by server.
    rates : EngineRates
        Rates of the service.
    """
    return [
        omit_less_urgent(view, urgent_work.get(view.name, NO_WORK), rates)
        for view in views
    ]


def find_reserved(
    views: Sequence[ServerView], urgent_work: Mapping[str, tuple[float, float]]
) -> tuple[str, ...]:
    """Return the engines at which an urgent request overtakes nothing.

    Load: urgent requests alone overload the engines for some time. Less urgent ones
    keep a quarter of the slots of each engine that streams, also for the streams whose
    prompts another engine prefills.
    """
    reserved = []
    for view in views:
        if view.stage == "prefill":
            continue
        streams = urgent_work.get(view.name, NO_WORK)[1]
        if streams + 1 > URGENT_SLOT_FRACTION * view.slots:
            reserved.append(view.name)
    return tuple(reserved)


def omit_less_urgent(
    view: ServerView, urgent_work: tuple[float, float], rates: EngineRates
) -> ServerView:
    """Return a view without the less urgent work that waits.

    What runs is not interrupted: the chunk that is being prefilled, which takes as long
    as a first event without a prefill, and the streams in the slots, of which the next
    one ends after a stream's duration divided by the slots.
    """
    tokens, streams = urgent_work
    chunk = rates.tokens_per_second * rates.first_event_seconds
    if view.stage != "prefill":
        chunk *= DECODE_STAGE_FACTOR
    return view._replace(
        waiting_tokens=min(view.waiting_tokens, tokens + chunk),
        streams=min(view.streams, max(view.slots, streams)),
    )
