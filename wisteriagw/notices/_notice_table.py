"""Conditions of all backend servers that gave notice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.eras import NOWHERE
from wisteriagw.notices._application import apply_notice
from wisteriagw.notices._server_condition import ServerCondition

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from wisteriagw.eras import StorePosition
    from wisteriagw.fleet import BackendServer

# Conditions of servers that are no longer registered are kept for this long after their
# last notice: a VM that is cut off may know the server for longer.
KEPT_SECONDS = 60.0
INFINITY = float("inf")


class NoticeTable:
    """Combines the notices of each server; those of an earlier process are ignored."""

    def __init__(self) -> None:
        self._conditions: dict[str, ServerCondition] = {}
        self._changed_at: dict[str, float] = {}

    def record(self, notice: Any, at: float, delay: float = 0.0) -> bool:
        """Record a notice given at a time; return whether it tells anything new.

        ``delay`` is the time in seconds by which it may have been given earlier.
        """
        known = self._conditions.get(notice.server)
        if known is not None and known.born > notice.born:
            return False
        if known is None or known.born < notice.born:
            known = ServerCondition(notice.born)
        condition = apply_notice(notice, known, at, delay)
        if condition is known:
            return False
        self._conditions[notice.server] = condition
        self._changed_at[notice.server] = at
        return True

    def find(self, server: BackendServer) -> ServerCondition | None:
        """Return what the process of a server gave notice of, or None."""
        condition = self._conditions.get(server.name)
        if condition is None or condition.born != server.born:
            return None
        return condition

    def is_leaving(self, server: BackendServer, position: StorePosition) -> bool:
        """Return whether a notice overrules an entry of a server at a position."""
        condition = self.find(server)
        if condition is None or condition.left_position == NOWHERE:
            return False
        return condition.left_position >= position

    def extend_departures(self, last: StorePosition) -> None:
        """Let the departures of earlier eras overrule entries up to a position.

        An entry that was restored from a copy may be from before the departure.
        """
        for name, condition in self._conditions.items():
            if NOWHERE.era < condition.left_position.era < last.era:
                self._conditions[name] = condition._replace(left_position=last)

    def find_pause(self, server: BackendServer, now: float) -> float:
        """Return the seconds for which a server wants no requests."""
        condition = self.find(server)
        return 0.0 if condition is None else max(0.0, condition.paused_until - now)

    def get_rate_limit(self, server: BackendServer) -> float | None:
        """Return the requests per second that a server takes from all VMs, or None."""
        condition = self.find(server)
        if condition is None or condition.rate == INFINITY:
            return None
        return condition.rate

    def list_limited(self, servers: Mapping[str, BackendServer]) -> list[BackendServer]:
        """Return the servers that name a limit, out of some by name."""
        limited = []
        for name, condition in self._conditions.items():
            server = servers.get(name)
            if server is None or condition.born != server.born:
                continue
            if condition.rate != INFINITY:
                limited.append(server)
        return limited

    def list_conditions(self) -> list[tuple[str, ServerCondition]]:
        """Return rows of backend server and condition."""
        return list(self._conditions.items())

    def expire(self, registered: Collection[str], now: float) -> None:
        """Forget servers that are gone; must be called periodically."""
        for name, changed_at in list(self._changed_at.items()):
            if name in registered or now - changed_at < KEPT_SECONDS:
                continue
            del self._changed_at[name]
            del self._conditions[name]
