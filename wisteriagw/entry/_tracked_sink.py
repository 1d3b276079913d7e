"""Sink that reports the progress of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.backends import StreamEnd
    from wisteriagw.dispatch import Dispatcher


class TrackedSink:
    """Passes everything on to a sink and tells the dispatcher of it."""

    def __init__(
        self,
        sink: Any,
        dispatcher: Dispatcher,
        handle: str,
        clock: Callable[[], float],
    ) -> None:
        self._sink = sink
        self._dispatcher = dispatcher
        self._handle = handle
        self._clock = clock
        self._tokens = 0

    def write_tokens(self, events: list[bytes]) -> None:
        """Pass tokens on."""
        if not self._tokens:
            self._dispatcher.note_first_token(self._handle, self._clock())
        self._tokens += len(events)
        self._sink.write_tokens(events)

    def finish(self, end: StreamEnd) -> None:
        """Pass the end on."""
        self._dispatcher.note_end(self._handle, self._tokens, self._clock())
        self._sink.finish(end)

    def lose(self, reason: str) -> None:
        """Pass the loss on."""
        self._dispatcher.note_end(self._handle, self._tokens, self._clock())
        self._sink.lose(reason)
