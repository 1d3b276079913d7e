"""Recent answers and failures of a backend server."""

from __future__ import annotations

from typing import NamedTuple

HALF_LIFE_SECONDS = 2.0
# Answers that are assumed before any was seen, so that one failure does not condemn a
# server.
ASSUMED_ANSWERS = 3.0
# A lost request costs its caller about this long; a server that fails all of them is
# still tried when the others are busier.
FAILURE_COST_SECONDS = 3.0


class ServerHealth(NamedTuple):
    """Failures and all results of a server, fading with time.

    Attributes
    ----------
    failures, results : float
        Failures, and failures and answers together.
    at : float
        Time of the last change in seconds.
    """

    failures: float = 0.0
    results: float = 0.0
    at: float = 0.0


def fade(health: ServerHealth, now: float) -> ServerHealth:
    """Return what is left of the results at a time."""
    part = 0.5 ** (max(0.0, now - health.at) / HALF_LIFE_SECONDS)
    return ServerHealth(health.failures * part, health.results * part, now)


def add_results(
    health: ServerHealth, failures: float, answers: float, now: float
) -> ServerHealth:
    """Return the health after some results."""
    faded = fade(health, now)
    return faded._replace(
        failures=faded.failures + failures,
        results=faded.results + failures + answers,
    )


def estimate_loss(health: ServerHealth, now: float) -> float:
    """Return the seconds that the server's failures are expected to cost a request."""
    faded = fade(health, now)
    rate = faded.failures / (faded.results + ASSUMED_ANSWERS)
    return FAILURE_COST_SECONDS * rate
