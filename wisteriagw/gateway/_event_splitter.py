"""Splitting of an event stream into whole events."""

from __future__ import annotations

import re

EVENT_ID = re.compile(rb"^id:\s*(\d+)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
    """Collects the parts of a stream until events are whole.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was passed on.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that a part completes, without those known already."""
        self._rest += data
        end = 0
        passed: list[bytes] = []
        for match in EVENT_END.finditer(self._rest):
            event = self._rest[end : match.end()]
            end = match.end()
            found = EVENT_ID.search(event)
            if found:
                number = int(found[1])
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            passed.append(event)
        self._rest = self._rest[end:]
        return b"".join(passed)

    def take_rest(self) -> bytes:
        """Return what follows the last whole event, and drop it."""
        rest, self._rest = self._rest, b""
        return rest
