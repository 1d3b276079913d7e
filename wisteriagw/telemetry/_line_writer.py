"""Writer of log lines that never blocks the event loop."""

from __future__ import annotations

import json
import os
from collections import deque
from typing import Any

MAX_BUFFERED_LINES = 10_000


class LineWriter:
    """Eliot destination that writes JSON lines to a non-blocking descriptor.

    A reader that does not keep up costs lines, which are counted, and never time.
    """

    def __init__(self, descriptor: int, program: str) -> None:
        os.set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._program = program
        self._lines: deque[bytes] = deque()

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or keep it until the descriptor takes it."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        fields = {"program": self._program, **message}
        self._lines.append(json.dumps(fields, default=str).encode("utf-8") + b"\n")
        self._flush()

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
