"""Own messages that relays may answer."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from wisteriagw.gateway._sent_message import SentMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Messages of some seconds; an answer to an older one says nothing of use.
KEPT_MESSAGES = 32


class SentNews:
    """Keeps the time and the work rows of own messages by their number."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._sequence = 0
        self._messages: OrderedDict[int, SentMessage] = OrderedDict()

    def add(self, work: tuple, now: float) -> int:
        """Take a message that is sent now and return its number."""
        self._sequence += 1
        self._messages[self._sequence] = SentMessage(now, work)
        if len(self._messages) > KEPT_MESSAGES:
            self._messages.popitem(last=False)
        return self._sequence

    def find(self, received: Iterable[tuple]) -> tuple[SentMessage, float] | None:
        """Return the last own message that a relay has, and how long it has had it."""
        for vm, sequence, held in received:
            if vm == self._vm and sequence in self._messages:
                return self._messages[sequence], held
        return None
