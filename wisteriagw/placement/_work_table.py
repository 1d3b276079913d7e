"""Work that VMs have on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._cached_parts import CachedParts
from wisteriagw.placement._server_health import (
    ServerHealth,
    add_results,
    estimate_loss,
    fade,
)
from wisteriagw.placement._server_view import ServerView

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.placement._prompt import Prompt

# Age up to which a peer's work counts, until it is set by the rate of the messages.
PEER_WORK_SECONDS = 1.0
# Failures below this are not worth telling the peers.
TOLD_FAILURES = 0.05
NO_RESULTS = ServerHealth()


class WorkTable:
    """Own work, work of peers and recent failures by backend server.

    Attributes
    ----------
    parts : CachedParts
        Prompt parts that engines are believed to keep.
    spread_seconds : float
        Most seconds by which estimates are spread, because the work of the peers is
        known late.
    peer_work_seconds : float
        Age up to which a peer's work counts; older work says nothing of a queue.
    """

    def __init__(self) -> None:
        self.spread_seconds = 0.0
        self.peer_work_seconds = PEER_WORK_SECONDS
        self.parts = CachedParts()
        self._own: dict[str, list[float]] = {}
        self._peers: dict[str, tuple[float, dict[str, tuple[float, float]]]] = {}
        self._health: dict[str, ServerHealth] = {}
        self._untold: dict[str, list[float]] = {}
        self._answered_at: dict[str, float] = {}
        self._away_until: dict[str, float] = {}

    def add(self, server: str, tokens: float, streams: int) -> None:
        """Change the own work on a server."""
        work = self._own.setdefault(server, [0.0, 0.0])
        work[0] += tokens
        work[1] += streams
        if work[1] <= 0 and work[0] <= 0:
            del self._own[server]

    def list_own(self) -> list[tuple[str, float, float]]:
        """Return the own work as rows of server, waiting tokens and streams."""
        return [(name, work[0], work[1]) for name, work in self._own.items()]

    def sum_work(
        self, now: float, peers: Collection[str] | None = None
    ) -> list[tuple[str, float, float]]:
        """Return the own work and that of all peers, or of some, as rows."""
        sums = {name: list(work) for name, work in self._own.items()}
        for vm, (read_at, rows) in self._peers.items():
            if now - read_at >= self.peer_work_seconds:
                continue
            if peers is not None and vm not in peers:
                continue
            for name, (tokens, streams) in rows.items():
                work = sums.setdefault(name, [0.0, 0.0])
                work[0] += tokens
                work[1] += streams
        return [(name, *work) for name, work in sums.items()]

    def note_peer(
        self, vm: str, rows: Iterable[tuple[str, float, float]], now: float
    ) -> None:
        """Take a peer's work."""
        self._peers[vm] = (now, {name: (tokens, count) for name, tokens, count in rows})

    def note_failure(self, server: str, now: float, weight: float = 1.0) -> None:
        """Take a failure of a server."""
        self.note_results(server, weight, 0.0, now)
        self._untold.setdefault(server, [0.0, 0.0])[0] += weight

    def note_success(self, server: str, now: float) -> None:
        """Take a good answer of a server."""
        self._answered_at[server] = now
        self.note_results(server, 0.0, 1.0, now)
        self._untold.setdefault(server, [0.0, 0.0])[1] += 1.0

    def has_answered(self, server: str, since: float) -> bool:
        """Return whether a server has given this VM a good answer since a time."""
        return self._answered_at.get(server, float("-inf")) >= since

    def note_results(
        self, server: str, failures: float, answers: float, now: float
    ) -> None:
        """Take results of a server, also those that a peer has told."""
        health = self._health.get(server, NO_RESULTS)
        self._health[server] = add_results(health, failures, answers, now)

    def take_results(self, now: float) -> list[tuple[str, float, float]]:
        """Return rows of server, failures and answers that peers have to know."""
        untold, self._untold = self._untold, {}
        return [
            (server, failures, answers)
            for server, (failures, answers) in untold.items()
            if fade(self._health[server], now).failures > TOLD_FAILURES
        ]

    def note_away(self, server: str, until: float) -> None:
        """Take that a server gets no requests until a time."""
        self._away_until[server] = until

    def is_away(self, server: str, now: float) -> bool:
        """Return whether a server gets no requests because of an order."""
        return now < self._away_until.get(server, float("-inf"))

    def get_suspicion(self, server: str, now: float) -> float:
        """Return the seconds that recent failures add to a server's estimate."""
        return estimate_loss(self._health.get(server, NO_RESULTS), now)

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone or started again."""
        self.parts.forget(server)
        self._away_until.pop(server, None)
        self._health.pop(server, None)
        self._untold.pop(server, None)
        self._answered_at.pop(server, None)

    def list_views(
        self, servers: Iterable[BackendServer], prompt: Prompt | None, now: float
    ) -> list[ServerView]:
        """Return the state of some servers for a decision."""
        peers = [
            rows
            for read_at, rows in self._peers.values()
            if now - read_at < self.peer_work_seconds
        ]
        views = []
        for server in servers:
            name = server.name
            tokens, streams = self._own.get(name, (0.0, 0.0))
            for rows in peers:
                row = rows.get(name)
                if row is not None:
                    tokens += row[0]
                    streams += row[1]
            cached = 0
            if prompt is not None:
                cached = self.parts.count_tokens(name, prompt.parts)
            suspicion = self.get_suspicion(name, now)
            views.append(
                ServerView(
                    name,
                    server.data_centre,
                    server.stage,
                    server.slots,
                    tokens,
                    streams,
                    cached,
                    suspicion,
                )
            )
        return views
