"""Outstanding work of all VMs on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._cached_parts import CachedParts
from wisteriagw.placement._server_health import (
    ServerHealth,
    add_results,
    decay,
    estimate_failure_cost,
)
from wisteriagw.placement._server_view import ServerView

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.placement._prompt import Prompt

# Default for the age up to which a peer's work counts; the rate of the peers' updates
# sets the value in use.
PEER_WORK_VALID_SECONDS = 1.0
# Servers with fewer decayed failures are left out of the results sent to peers.
MIN_SENT_FAILURES = 0.05
NO_RESULTS = ServerHealth()
# The urgent part of a server's work has a row of its own under the server's name with
# this ending. Builds without it exchange and add up such rows like those of a server
# that they don't know; a row with more fields would make them fail.
URGENT_ENDING = "\0urgent"


class WorkTable:
    """Own work, work of peers and recent failures by backend server.

    Attributes
    ----------
    parts : CachedParts
        Prompt parts that engines are estimated to have cached.
    peer_work_valid_seconds : float
        Age up to which a peer's work counts; older work does not describe the queue.
    """

    def __init__(self) -> None:
        self.peer_work_valid_seconds = PEER_WORK_VALID_SECONDS
        self.parts = CachedParts()
        self._own: dict[str, list[float]] = {}
        self._peers: dict[str, tuple[float, dict[str, tuple[float, float]]]] = {}
        self._health: dict[str, ServerHealth] = {}
        self._unsent_results: dict[str, list[float]] = {}
        self._answered_at: dict[str, float] = {}
        self._unavailable_until: dict[str, float] = {}

    def add(self, server: str, tokens: float, streams: int) -> None:
        """Change the own work on a server."""
        work = self._own.setdefault(server, [0.0, 0.0])
        work[0] += tokens
        work[1] += streams
        if work[1] <= 0 and work[0] <= 0:
            del self._own[server]

    def add_urgent(self, server: str, tokens: float, streams: int) -> None:
        """Change the urgent part of the own work on a server."""
        self.add(server + URGENT_ENDING, tokens, streams)

    def list_own_work(self) -> list[tuple[str, float, float]]:
        """Return the own work as rows of server, waiting tokens and streams."""
        return [(name, work[0], work[1]) for name, work in self._own.items()]

    def sum_work(
        self, now: float, peers: Collection[str] | None = None
    ) -> list[tuple[str, float, float]]:
        """Return the own work plus that of all peers, or of the given ones, as rows."""
        sums = {name: list(work) for name, work in self._own.items()}
        for vm, (received_at, rows) in self._peers.items():
            if now - received_at >= self.peer_work_valid_seconds:
                continue
            if peers is not None and vm not in peers:
                continue
            for name, (tokens, streams) in rows.items():
                work = sums.setdefault(name, [0.0, 0.0])
                work[0] += tokens
                work[1] += streams
        return [(name, *work) for name, work in sums.items()]

    def apply_peer_work(
        self, vm: str, rows: Iterable[tuple[str, float, float]], now: float
    ) -> None:
        """Replace the known work of a peer."""
        self._peers[vm] = (now, {name: (tokens, count) for name, tokens, count in rows})

    def record_failure(self, server: str, now: float, weight: float = 1.0) -> None:
        """Record a failure of a server."""
        self.apply_results(server, weight, 0.0, now)
        self._unsent_results.setdefault(server, [0.0, 0.0])[0] += weight

    def record_success(self, server: str, now: float) -> None:
        """Record a successful answer of a server."""
        self._answered_at[server] = now
        self.apply_results(server, 0.0, 1.0, now)
        self._unsent_results.setdefault(server, [0.0, 0.0])[1] += 1.0

    def has_answered(self, server: str, since: float) -> bool:
        """Return whether a server has answered this VM successfully after a time."""
        return self._answered_at.get(server, float("-inf")) > since

    def has_any_answered(self, since: float, excluded: str) -> bool:
        """Return whether a server other than one has answered this VM after a time."""
        return any(
            at > since for name, at in self._answered_at.items() if name != excluded
        )

    def apply_results(
        self, server: str, failures: float, answers: float, now: float
    ) -> None:
        """Apply results of a server, observed here or received from a peer."""
        health = self._health.get(server, NO_RESULTS)
        self._health[server] = add_results(health, failures, answers, now)

    def pop_unsent_results(self, now: float) -> list[tuple[str, float, float]]:
        """Return and clear the results for peers: rows of server, failures, answers."""
        unsent, self._unsent_results = self._unsent_results, {}
        return [
            (server, failures, answers)
            for server, (failures, answers) in unsent.items()
            if decay(self._health[server], now).failures > MIN_SENT_FAILURES
        ]

    def mark_unavailable(self, server: str, until: float) -> None:
        """Send no requests to a server until a time."""
        self._unavailable_until[server] = until

    def is_unavailable(self, server: str, now: float) -> bool:
        """Return whether a server gets no requests because of a pending order."""
        return now < self._unavailable_until.get(server, float("-inf"))

    def get_failure_penalty(self, server: str, now: float) -> float:
        """Return the seconds that recent failures add to a server's estimate."""
        return estimate_failure_cost(self._health.get(server, NO_RESULTS), now)

    def remove_server(self, server: str) -> None:
        """Remove the state of a server that has ended or restarted."""
        self.parts.remove_server(server)
        self._unavailable_until.pop(server, None)
        self._health.pop(server, None)
        self._unsent_results.pop(server, None)
        self._answered_at.pop(server, None)

    def list_urgent_work(
        self, servers: Iterable[str], now: float
    ) -> dict[str, tuple[float, float]]:
        """Return the waiting tokens and streams of urgent requests by server."""
        peers = self._list_peer_rows(now)
        found = {}
        for server in servers:
            tokens, streams = self._sum_row(server + URGENT_ENDING, peers)
            if tokens or streams:
                found[server] = (tokens, streams)
        return found

    def list_views(
        self, servers: Iterable[BackendServer], prompt: Prompt | None, now: float
    ) -> list[ServerView]:
        """Return the views of servers for a placement decision."""
        peers = self._list_peer_rows(now)
        views = []
        for server in servers:
            name = server.name
            tokens, streams = self._sum_row(name, peers)
            cached = 0
            if prompt is not None:
                cached = self.parts.count_tokens(name, prompt.parts)
            failure_penalty = self.get_failure_penalty(name, now)
            views.append(
                ServerView(
                    name,
                    server.data_centre,
                    server.stage,
                    server.slots,
                    tokens,
                    streams,
                    cached,
                    failure_penalty,
                )
            )
        return views

    def _list_peer_rows(self, now: float) -> list[dict[str, tuple[float, float]]]:
        return [
            rows
            for received_at, rows in self._peers.values()
            if now - received_at < self.peer_work_valid_seconds
        ]

    def _sum_row(
        self, name: str, peers: list[dict[str, tuple[float, float]]]
    ) -> tuple[float, float]:
        tokens, streams = self._own.get(name, (0.0, 0.0))
        for rows in peers:
            row = rows.get(name)
            if row is not None:
                tokens += row[0]
                streams += row[1]
        return tokens, streams
