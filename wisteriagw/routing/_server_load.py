"""Tracked load of one backend server."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routing._load_report import LoadReport

# Reports lag by up to 5 s; an older one does not describe the present load.
REPORT_VALID_SECONDS = 5.0
# Time constant with which the queues of other entry VMs return to their mean.
OTHERS_DECAY_SECONDS = 2.0
OTHERS_SMOOTHING = 0.3
# Heartbeats arrive every second; after three lost ones the reports are used instead.
PEERS_VALID_SECONDS = 3.0
# Other entry VMs see the same idle server and send there too; each is expected to have
# sent this fraction of the own work sent since the last heartbeat.
HERDING_FACTOR = 0.3


class ServerLoad:
    """Work of this entry VM, and of the others according to the last report.

    The own part is exact. The part of other entry VMs is what the last report contains
    beyond the own work at the report's time; it decays to its mean with the age of the
    report. Changes of the own work since the report's time are kept to compute it.
    """

    __slots__ = (
        "own_tokens",
        "own_streams",
        "as_of",
        "_changes",
        "_peers_at",
        "_peers_tokens",
        "_peers_streams",
        "_sent_tokens",
        "_sent_streams",
        "_peers",
        "_others_tokens",
        "_others_streams",
        "_mean_tokens",
        "_mean_streams",
    )

    def __init__(self) -> None:
        self.own_tokens = 0.0
        self.own_streams = 0
        self.as_of = -math.inf
        self._peers_at = -math.inf
        self._peers_tokens = self._peers_streams = 0.0
        self._sent_tokens = self._sent_streams = 0.0
        self._peers = 0
        self._changes: deque[tuple[float, float, int]] = deque()
        self._others_tokens = self._others_streams = 0.0
        self._mean_tokens = self._mean_streams = 0.0

    def change(self, tokens: float, streams: int, now: float) -> None:
        """Add to the own work, or subtract finished work."""
        self.own_tokens += tokens
        self.own_streams += streams
        if streams > 0:
            self._sent_tokens += tokens
            self._sent_streams += streams
        self._changes.append((now, tokens, streams))
        while self._changes[0][0] < now - 2 * REPORT_VALID_SECONDS:
            self._changes.popleft()

    def apply_report(self, report: LoadReport) -> None:
        """Apply a report; one that is older than the last is ignored."""
        if report.as_of <= self.as_of:
            return
        self.as_of = report.as_of
        while self._changes and self._changes[0][0] <= report.as_of:
            self._changes.popleft()
        own_tokens, own_streams = self.own_tokens, float(self.own_streams)
        for _, tokens, streams in self._changes:
            own_tokens -= tokens
            own_streams -= streams
        self._others_tokens = max(0.0, report.queued_prefill_tokens - own_tokens)
        self._others_streams = max(0.0, report.running_streams - own_streams)
        smoothing = OTHERS_SMOOTHING
        self._mean_tokens += smoothing * (self._others_tokens - self._mean_tokens)
        self._mean_streams += smoothing * (self._others_streams - self._mean_streams)

    def set_peers(self, tokens: float, streams: float, peers: int, now: float) -> None:
        """Set the total outstanding work of the other entry VMs on this server."""
        self._peers_at = now
        self._peers_tokens, self._peers_streams = tokens, streams
        self._peers = peers
        self._sent_tokens = self._sent_streams = 0.0

    def estimate(self, now: float) -> tuple[float, float, float, int, int]:
        """Return the last fields of a ``BackendView``.

        These are the estimated queued tokens and streams of all entry VMs, the own
        share of both, and the number of entry VMs whose work is known (0 without
        heartbeats).
        """
        own_tokens, own_streams = self.own_tokens, self.own_streams
        if now - self._peers_at <= PEERS_VALID_SECONDS:
            factor = HERDING_FACTOR * self._peers
            return (
                own_tokens + self._peers_tokens + factor * self._sent_tokens,
                own_streams + self._peers_streams + factor * self._sent_streams,
                own_tokens,
                own_streams,
                self._peers + 1,
            )
        age = now - self.as_of
        if age > REPORT_VALID_SECONDS:
            return own_tokens, own_streams, own_tokens, own_streams, 0
        factor = math.exp(-age / OTHERS_DECAY_SECONDS)
        tokens = self._mean_tokens + factor * (self._others_tokens - self._mean_tokens)
        streams = self._mean_streams + factor * (
            self._others_streams - self._mean_streams
        )
        return own_tokens + tokens, own_streams + streams, own_tokens, own_streams, 0
