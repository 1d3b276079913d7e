"""Writer of log lines that never blocks the event loop."""

from __future__ import annotations

import json
import os
from collections import deque
from typing import Any

MAX_BUFFERED_LINES = 10_000


class LineWriter:
    """Eliot destination that writes JSON lines to a non-blocking descriptor.

    If the reader is too slow, lines are dropped and counted; writing never blocks.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    program : str
        Name of the program in each line.
    reactor : IReactorFDSet, optional
        Reports when the descriptor is writable again. Without it buffered lines are
        written with the next line.
    """

    def __init__(self, descriptor: int, program: str, reactor: Any = None) -> None:
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._program = program
        self._lines: deque[bytes] = deque()
        self._reactor = reactor
        self._watching = False

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or buffer it until the descriptor is writable."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        fields = {"program": self._program, **message}
        self._lines.append(json.dumps(fields, default=str).encode("utf-8") + b"\n")
        if not self._watching:
            self.doWrite()

    def fileno(self) -> int:
        """Return the descriptor for the reactor to watch."""
        return self._descriptor

    def doWrite(self) -> None:
        """Write buffered lines; the reactor watches the descriptor while any remain."""
        self._flush()
        pending = bool(self._lines)
        if self._reactor is None or pending == self._watching:
            return
        self._watching = pending
        if pending:
            self._reactor.addWriter(self)
        else:
            self._reactor.removeWriter(self)

    def connectionLost(self, reason: Any) -> None:
        """Drop the buffered lines: the reader has closed the descriptor."""
        self._watching = False
        self.dropped_lines += len(self._lines)
        self._lines.clear()

    def logPrefix(self) -> str:
        """Return the name that Twisted logs for this writer."""
        return "log lines"

    def _flush(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()
