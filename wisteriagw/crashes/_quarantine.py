"""Prompt parts whose requests are refused for a time."""

from __future__ import annotations

from typing import NamedTuple

# Longer than crashes are remembered, so that the same crashes begin no second one.
PROBATION_SECONDS = 900.0


class Quarantine(NamedTuple):
    """Requests that hold all of some parts are sent to no engine.

    Attributes
    ----------
    parts : frozenset of str
        Parts that explain the crashes.
    crashes : frozenset of str
        Crashes known to this VM; empty if a peer sent the quarantine.
    first_at : float
        Time of the first crash; a sound answer after it clears a part.
    began_at, seconds : float
        Start and length of the quarantine in seconds.
    """

    parts: frozenset[str]
    crashes: frozenset[str]
    first_at: float
    began_at: float
    seconds: float

    @property
    def until(self) -> float:
        """End of the quarantine."""
        return self.began_at + self.seconds

    @property
    def forgotten_at(self) -> float:
        """End of the probation, within which one more crash renews the quarantine."""
        return self.until + PROBATION_SECONDS
