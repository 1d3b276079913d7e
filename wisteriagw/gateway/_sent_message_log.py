"""Updates of this VM that relays may acknowledge."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from wisteriagw.gateway._sent_message import SentMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Covers a few seconds; the acknowledgement of an older message is of no use.
KEPT_MESSAGES = 32


class SentMessageLog:
    """Keeps the time and the work rows of sent updates by sequence number."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._sequence = 0
        self._messages: OrderedDict[int, SentMessage] = OrderedDict()

    def add(self, work: tuple, now: float) -> int:
        """Add an update that is sent now and return its sequence number."""
        self._sequence += 1
        self._messages[self._sequence] = SentMessage(now, work)
        if len(self._messages) > KEPT_MESSAGES:
            self._messages.popitem(last=False)
        return self._sequence

    def find(self, received: Iterable[tuple]) -> tuple[SentMessage, float] | None:
        """Return the last update that a relay received, and the seconds since then."""
        for vm, sequence, age in received:
            if vm == self._vm and sequence in self._messages:
                return self._messages[sequence], age
        return None
