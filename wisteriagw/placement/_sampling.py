"""Sample of the servers that one placement decision compares."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wisteriagw.placement._server_view import ServerView

SAMPLE_SIZE = 2
# A server above this failure penalty is compared only if there is no other.
MAX_FAILURE_PENALTY_SECONDS = 0.5


def sample_servers(
    views: Sequence[ServerView],
    draw: Callable[[], float],
    min_cached_tokens: int,
) -> list[ServerView]:
    """Return two servers drawn at random, and the best holder of the prompt.

    The load of a server is known with a delay of some updates. If each VM took the best
    of all servers, all VMs would send to the same few until their updates arrive, and
    these queues would be the longest. The better of two spreads the requests
    and still avoids long queues (Mitzenmacher, "How Useful Is Old
    Information?", 2000).

    Parameters
    ----------
    views : sequence of ServerView
        Servers that can take the request. Failing ones are left out if there are
        others.
    draw : callable
        Returns random numbers in [0, 1).
    min_cached_tokens : int
        Cached prompt tokens by which a server must exceed the sample to be added.
    """
    sound = [view for view in views if is_sound(view)] or list(views)
    sample: list[ServerView] = []
    rest = list(sound)
    while rest and len(sample) < SAMPLE_SIZE:
        index = int(draw() * len(rest))
        rest[index], rest[-1] = rest[-1], rest[index]
        sample.append(rest.pop())
    cached = max((view.cached_tokens for view in sample), default=0)
    holder = max(rest, key=lambda view: view.cached_tokens, default=None)
    if holder is not None and holder.cached_tokens - cached >= min_cached_tokens:
        sample.append(holder)
    return sample


def is_sound(view: ServerView) -> bool:
    """Return whether a server answers most of its requests."""
    return view.failure_penalty <= MAX_FAILURE_PENALTY_SECONDS
