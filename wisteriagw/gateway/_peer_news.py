"""News for the other VMs, collected between two messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.messages import GatewayNews

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter

# Rows in one message; what is left waits for the next one.
MAX_ROWS = 400
# Usage is told once in this time, and covers the current and the last window.
USAGE_SECONDS = 1.0
USAGE_WINDOWS = 2


class PeerNews:
    """Prompt parts and orders that the peers have not been told of."""

    def __init__(self, incarnation: str, usage: UsageCounter) -> None:
        self._incarnation = incarnation
        self._usage = usage
        self._usage_at = 0.0
        self._parts: list[tuple[str, str, int]] = []
        self._away: list[tuple[str, float]] = []

    def note_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Take parts that an engine keeps from now on."""
        for part, tokens in parts:
            self._parts.append((server, part, tokens))

    def repeat_parts(self, rows: list[tuple[str, str, int]]) -> None:
        """Take rows of engine, part and tokens that a new peer has to learn."""
        self._parts.extend(rows)

    def note_away(self, server: str, seconds: float) -> None:
        """Take that a server gets no requests for some seconds."""
        self._away.append((server, seconds))

    def take(
        self,
        ready: bool,
        uptime: float,
        work: list[tuple[str, float, float]],
        results: list[tuple[str, float, float]],
    ) -> GatewayNews:
        """Return the next message."""
        parts, self._parts = self._parts[:MAX_ROWS], self._parts[MAX_ROWS:]
        away, self._away = self._away, []
        usage = []
        if uptime - self._usage_at >= USAGE_SECONDS:
            self._usage_at = uptime
            usage = self._usage.list_rows(USAGE_WINDOWS)
        return GatewayNews(
            ready,
            tuple(work),
            tuple(parts),
            tuple(away),
            tuple(results),
            self._incarnation,
            uptime,
            tuple(usage),
        )
