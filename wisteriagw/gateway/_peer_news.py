"""News for the other VMs, collected between two messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.messages import GatewayNews

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter

# Rows in one message; what is left waits for the next one.
MAX_ROWS = 400
# Usage goes with every so many messages, and covers the current and the last window.
USAGE_MESSAGES = 10
USAGE_WINDOWS = 2


class PeerNews:
    """Prompt parts and demand that the peers have not been told of."""

    def __init__(self, incarnation: str, usage: UsageCounter) -> None:
        self._incarnation = incarnation
        self._usage = usage
        self._messages = 0
        self._parts: list[tuple[str, str, int]] = []
        self._away: list[tuple[str, float]] = []
        self._demand: dict[str, float] = {}

    def note_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Take parts that an engine keeps from now on."""
        for part, tokens in parts:
            self._parts.append((server, part, tokens))

    def repeat_parts(self, rows: list[tuple[str, str, int]]) -> None:
        """Take rows of engine, part and tokens that a new peer has to learn."""
        self._parts.extend(rows)

    def note_demand(self, service: str, tokens: float) -> None:
        """Take prompt tokens that were asked for."""
        self._demand[service] = self._demand.get(service, 0.0) + tokens

    def note_away(self, server: str, seconds: float) -> None:
        """Take that a server gets no requests for some seconds."""
        self._away.append((server, seconds))

    def take(
        self, ready: bool, uptime: float, work: list[tuple[str, float, float]]
    ) -> GatewayNews:
        """Return the next message."""
        parts, self._parts = self._parts[:MAX_ROWS], self._parts[MAX_ROWS:]
        demand, self._demand = self._demand, {}
        away, self._away = self._away, []
        self._messages += 1
        usage = []
        if self._messages % USAGE_MESSAGES == 0:
            usage = self._usage.list_rows(USAGE_WINDOWS)
        return GatewayNews(
            ready,
            tuple(work),
            tuple(parts),
            tuple(demand.items()),
            tuple(away),
            self._incarnation,
            uptime,
            tuple(usage),
        )
