"""Limit on the parts of a body that are parsed in one turn of the loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Each chunk of a chunked body costs the same time whatever its size. This many in the
# data of one read mean that they hold less than 256 bytes on average.
PARTS_PER_TURN = 256
# A peer that writes a few thousand small chunks at once is not slowed down.
FREE_TURNS = 8
# Beyond these a connection gets 2,560 small chunks parsed per second: a token takes
# 30 ms.
PAUSE_SECONDS = 0.1


class ReadPacer:
    """Spreads the parsing of small chunks over turns of the loop.

    Parameters
    ----------
    resume : callable
        Called without arguments in a later turn.
    call_later : callable
        ``call_later(seconds, function)`` calls a function after some seconds.

    Attributes
    ----------
    waiting : bool
        Whether the rest of the received data is parsed in a later turn.
    """

    def __init__(
        self,
        resume: Callable[[], None],
        call_later: Callable[[float, Callable[[], None]], Any],
    ) -> None:
        self.waiting = False
        self._resume = resume
        self._call_later = call_later
        self._parts = 0
        self._turns = 0

    def start_turn(self) -> None:
        """Begin to parse received data."""
        self._parts = 0

    def count_part(self) -> None:
        """Count a part; at the limit, the rest waits for a later turn."""
        self._parts += 1
        if self.waiting or self._parts < PARTS_PER_TURN:
            return
        self._turns += 1
        self.waiting = True
        delay = 0.0 if self._turns <= FREE_TURNS else PAUSE_SECONDS
        self._call_later(delay, self._end_pause)

    def _end_pause(self) -> None:
        self.waiting = False
        self._resume()


def call_later(seconds: float, function: Callable[[], None]) -> Any:
    """Call a function after some seconds of the global reactor."""
    from twisted.internet import reactor

    return reactor.callLater(seconds, function)
