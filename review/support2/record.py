"""Record of what a script sent, and what was answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class Record:
    """Lines with the seconds since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, as of now or of a time."""
        self._lines.append((time.monotonic() if at is None else at, text))

    def write(self, path: pathlib.Path) -> None:
        """Write the lines in the order of their times."""
        with path.open("w") as file:
            for at, text in sorted(self._lines):
                file.write(f"{at - self.started:9.3f} {text}\n")
