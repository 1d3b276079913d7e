"""Reader of the events of an engine's stream."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol

from wisteriagw.backends import StreamPosition, read_event_index

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from wisteriagw.backends import StreamEnd

EVENT_END = b"\n\n"
END_MARK = b"\nevent: end\n"


class EventReader(Protocol):
    """Passes the tokens of one attempt to a sink, each index once and in order.

    Parameters
    ----------
    sink : object
        Has ``write_tokens(events)``, ``finish(end)`` and ``lose(reason)``.
    position : StreamPosition
        The attempt and the first index that the sink has not had yet.
    """

    def __init__(self, sink: Any, position: StreamPosition) -> None:
        self.position = position
        self._sink = sink
        self._rest = b""
        self._end: StreamEnd | None = None

    def dataReceived(self, data: bytes) -> None:
        """Split the data into events and pass on those that are due."""
        *events, self._rest = (self._rest + data).split(EVENT_END)
        due = []
        for event in events:
            index = read_event_index(event, self.position)
            if index is None or index != self.position.next_index:
                continue
            id_line, _, rest = event.partition(b"\n")
            if END_MARK in event:
                self._end = json.loads(event.rpartition(b"data: ")[2])
                continue
            due.append(b"id: %d\n%b\n\n" % (index, rest))
            self.position = self.position._replace(next_index=index + 1)
        if due:
            self._sink.write_tokens(due)

    def connectionLost(self, reason: Failure) -> None:
        """Tell the sink whether the stream is whole."""
        if self._end is not None:
            self._sink.finish(self._end)
            return
        self._sink.lose(reason.getErrorMessage())
