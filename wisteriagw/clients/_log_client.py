"""Interface of log clients."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from wisteriagw.clients._log_page import LogPage


class LogClient(Protocol):
    """Access to the append-only log of the platform."""

    def append(self, stream: str, data: bytes) -> Deferred[int]:
        """Append a record and return its offset, or fail with LogUnavailableError."""

    def read(self, stream: str, start: int, limit: int) -> Deferred[LogPage]:
        """Read records from an offset on, or fail with LogUnavailableError."""
