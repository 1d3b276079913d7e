"""Recent answers and failures of a backend server."""

from __future__ import annotations

from typing import NamedTuple

HALF_LIFE_SECONDS = 2.0
# Successful answers assumed in advance, so that one failure does not exclude a server.
PRIOR_ANSWERS = 3.0
# A lost request costs its caller about this long; a server that fails all of them is
# still tried when the others are busier.
FAILURE_COST_SECONDS = 3.0


class ServerHealth(NamedTuple):
    """Failures and all results of a server, with exponential decay.

    Attributes
    ----------
    failures, results : float
        Failures, and failures and answers together.
    at : float
        Time of the last update in seconds.
    """

    failures: float = 0.0
    results: float = 0.0
    at: float = 0.0


def decay(health: ServerHealth, now: float) -> ServerHealth:
    """Return the results decayed to a time."""
    factor = 0.5 ** (max(0.0, now - health.at) / HALF_LIFE_SECONDS)
    return ServerHealth(health.failures * factor, health.results * factor, now)


def add_results(
    health: ServerHealth, failures: float, answers: float, now: float
) -> ServerHealth:
    """Return the health with further failures and answers added."""
    decayed = decay(health, now)
    return decayed._replace(
        failures=decayed.failures + failures,
        results=decayed.results + failures + answers,
    )


def estimate_failure_cost(health: ServerHealth, now: float) -> float:
    """Return the seconds that a request is expected to lose to failures."""
    if not health.failures:
        # Most servers have no failures, and each placement asks for all of them.
        return 0.0
    decayed = decay(health, now)
    rate = decayed.failures / (decayed.results + PRIOR_ANSWERS)
    return FAILURE_COST_SECONDS * rate
