"""Detection of peers that do not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# A suspected peer is left out for the pause and then probed for the next second, in
# addition to its substitutes, until it answers.
SUSPICION_PAUSE_SECONDS = 4.0
PROBE_SECONDS = 1.0


class PeerFailureDetector:
    """Suspects peers that are expected to answer and do not.

    Attributes
    ----------
    suspicion_timeout : float
        Seconds without a message after which a peer that is sent some is suspected.
    """

    def __init__(self, suspicion_timeout: float) -> None:
        self.suspicion_timeout = suspicion_timeout
        self._expected_since: dict[str, float] = {}
        self._last_seen: dict[str, float] = {}
        self._suspected_since: dict[str, float] = {}

    def record_message(self, peer: str, now: float) -> None:
        """Record a message from a peer, which ends its suspicion."""
        self._last_seen[peer] = now
        self._suspected_since.pop(peer, None)

    def set_expected(self, peers: Collection[str], now: float) -> None:
        """Replace the set of peers that are expected to answer."""
        self._expected_since = {
            peer: self._expected_since.get(peer, now) for peer in peers
        }

    def is_suspected(self, peer: str, now: float) -> bool:
        """Return whether a peer is suspected; it stays so until it sends a message."""
        if peer in self._suspected_since:
            return True
        expected_since = self._expected_since.get(peer)
        if expected_since is None:
            return False
        since = max(expected_since, self._last_seen.get(peer, expected_since))
        if now - since <= self.suspicion_timeout:
            return False
        self._suspected_since[peer] = now
        return True

    def is_probed(self, peer: str, now: float) -> bool:
        """Return whether a suspected peer is sent messages at this time."""
        since = self._suspected_since.get(peer)
        if since is None:
            return False
        return (now - since) % (
            SUSPICION_PAUSE_SECONDS + PROBE_SECONDS
        ) >= SUSPICION_PAUSE_SECONDS

    def remove(self, peer: str) -> None:
        """Drop the state of a peer that is no longer registered."""
        self._expected_since.pop(peer, None)
        self._last_seen.pop(peer, None)
        self._suspected_since.pop(peer, None)
