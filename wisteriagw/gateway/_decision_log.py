"""Rate-limited log of decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable

# About twice what a VM writes at its usual peak; a flood of log lines must not take
# processor time from the requests themselves.
MAX_LINES_PER_SECOND = 300


class DecisionLog:
    """Writes one line per decision; lines above the rate limit are only counted."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.suppressed = 0
        self._clock = clock
        self._second = -1
        self._lines = 0

    def write(self, decision: str, **fields: Any) -> None:
        """Write a decision with its inputs and its outcome."""
        now = self._clock()
        second = int(now)
        if second != self._second:
            self._second, self._lines = second, 0
            if self.suppressed:
                eliot.log_message(
                    message_type="lines_suppressed", lines=self.suppressed
                )
                self.suppressed = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self.suppressed += 1
            return
        eliot.log_message(message_type=decision, **fields)
