"""Reader of the events of an engine's stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol

from wisteriagw.backends import (
    END_PREFIX,
    SUPERSEDED_PREFIX,
    StreamPosition,
    read_event_index,
    read_stream_end,
)

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from wisteriagw.backends import StreamEnd

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: {"
MAX_EVENT_BYTES = 64 * 1024


class EventReader(Protocol):
    """Forwards the tokens of one attempt to a relay, each index once and in order.

    Events of other attempts and repeated ones are dropped. A gap or an event that is
    not valid ends the attempt; the relay then resumes from the first missing index.

    Parameters
    ----------
    relay : object
        Has ``write_tokens(events)``, ``finish(end)``, ``handle_loss(reason)`` and
        ``supersede()``; exactly one of the last three is called, once.
    position : StreamPosition
        The attempt and the first index that the relay has not received.
    """

    def __init__(self, relay: Any, position: StreamPosition) -> None:
        self._relay = relay
        self._attempt = position.attempt
        # A bytearray grows in place; bytes would be copied with each chunk.
        self._buffer = bytearray()
        self._end: StreamEnd | None = None
        self._closed = False
        self._set_next(position.next_index)

    @property
    def position(self) -> StreamPosition:
        """The attempt and the first index that the relay has not received."""
        return StreamPosition(self._attempt, self._next_index)

    def dataReceived(self, data: bytes) -> None:
        """Split the data into events and forward those that are complete."""
        if self._closed or self._end is not None:
            return
        # Fast path: the data is almost always exactly the next token event.
        size = len(self._next_prefix)
        if (
            data.startswith(self._next_prefix)
            and data.find(b"\n", size) == len(data) - 2
            and data.endswith(EVENT_END)
            and len(data) <= MAX_EVENT_BYTES
            and not self._buffer
        ):
            event = self._id_line + data[size - len(DATA_PREFIX) :]
            self._set_next(self._next_index + 1)
            self._relay.write_tokens([event])
            return
        searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += data
        events: list[bytes] = []
        if self._buffer.find(EVENT_END, searched) >= 0:
            *events, rest = bytes(self._buffer).split(EVENT_END)
            self._buffer = bytearray(rest)
        ready: list[bytes] = []
        try:
            for event in events:
                self._read_event(event, ready)
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise ValueError("an event is too long")
        except ValueError as error:
            self._forward(ready)
            self._close(str(error))
            return
        self._forward(ready)

    def connectionLost(self, reason: Failure) -> None:
        """Notify the relay whether the stream is complete."""
        if self._closed:
            return
        self._closed = True
        if self._end is not None:
            self._relay.finish(self._end)
            return
        self._relay.handle_loss(reason.getErrorMessage())

    def stop(self) -> None:
        """Close the connection without notifying the relay."""
        self._closed = True
        self.transport.loseConnection()

    def _read_event(self, event: bytes, ready: list[bytes]) -> None:
        if self._closed or self._end is not None:
            return
        if not self._check_order(event):
            return
        if len(event) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        rest = event.partition(b"\n")[2]
        if rest.startswith(DATA_PREFIX) and b"\n" not in rest:
            ready.append(b"%b%b\n\n" % (self._id_line, rest))
            self._set_next(self._next_index + 1)
            return
        if rest.startswith(END_PREFIX):
            self._end = read_stream_end(rest.removeprefix(END_PREFIX))
            return
        if rest.startswith(SUPERSEDED_PREFIX):
            self._forward(ready)
            ready.clear()
            self._closed = True
            self.transport.loseConnection()
            self._relay.supersede()
            return
        raise ValueError("an event is neither a token nor the end")

    def _check_order(self, event: bytes) -> bool:
        """Return False for an event to drop; raise ValueError for a gap."""
        index = read_event_index(event, self.position)
        if index is None or index < self._next_index:
            return False
        if index > self._next_index:
            raise ValueError(f"events {self._next_index} to {index - 1} are missing")
        return True

    def _set_next(self, index: int) -> None:
        self._next_index = index
        self._next_prefix = b"id: %b/%d\n%b" % (self._attempt, index, DATA_PREFIX)
        self._id_line = b"id: %d\n" % index

    def _forward(self, ready: list[bytes]) -> None:
        if ready:
            self._relay.write_tokens(ready)

    def _close(self, reason: str) -> None:
        if self._closed:
            return
        self._closed = True
        self.transport.loseConnection()
        self._relay.handle_loss(reason)
