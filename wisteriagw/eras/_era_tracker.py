"""Era of the store, as seen by this process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

# Era of a store that names none.
UNKNOWN_ERA = 0
# The platform states that what the operator and the backend servers wrote is written
# again within about two seconds of the store's recovery.
SETTLE_SECONDS = 2.0


class EraTracker:
    """Newest era that an answer of the store or a message of a peer has named.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    first_start : bool
        Whether the first era that is seen is the first of the whole system.

    Attributes
    ----------
    era : int
        Newest era, 0 while none is known.
    seen_at : float
        Time at which it was first seen; the start of the process at first.
    restores : int
        Number of times that the store was restored.
    """

    def __init__(
        self, clock: Callable[[], float] = lambda: 0.0, first_start: bool = False
    ) -> None:
        self.era = UNKNOWN_ERA
        self.seen_at = clock()
        self.restores = 0
        self._clock = clock
        self._first_start = first_start
        self._named = False
        self._settled_era = UNKNOWN_ERA
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function without arguments each time the store was restored."""
        self._listeners.append(listener)

    def record_settled(self) -> None:
        """Record that the current era began so long ago that the store has settled."""
        self._settled_era = self.era

    def is_settled(self) -> bool:
        """Return whether the operator and the servers have written again what was lost.

        Without an era the store is one that is never restored.
        """
        if self.era == self._settled_era:
            return True
        return self._clock() - self.seen_at >= SETTLE_SECONDS

    def observe(self, era: int | None) -> bool:
        """Record the era of an answer, None if it names none.

        Returns False for an answer from before a restore that is already known.
        """
        if era is None:
            return True
        first, self._named = not self._named, True
        if era <= self.era:
            return era == self.era
        known, self.era = self.era, era
        self.seen_at = self._clock()
        if first:
            logger.info("the store is in era %d", era)
            if self._first_start:
                self.record_settled()
            return True
        self.restores += 1
        logger.warning(
            "the store was restored from a copy: era %d follows era %d", era, known
        )
        for listener in self._listeners:
            listener()
        return True
