"""Notice of peers that are sent messages and do not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# A silent peer is sent messages again for the second time after the first one, beside
# those that stand in for it.
REST_SECONDS = 4.0
PROBE_SECONDS = 1.0


class AnswerWatch:
    """Tells which peers are silent.

    Attributes
    ----------
    patience : float
        Seconds without a message after which a peer that is sent some is silent.
    """

    def __init__(self, patience: float) -> None:
        self.patience = patience
        self._asked_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}

    def note_heard(self, peer: str, now: float) -> None:
        """Take a message of a peer."""
        self._heard_at[peer] = now
        self._silent_since.pop(peer, None)

    def note_asked(self, peers: Collection[str], now: float) -> None:
        """Take that these peers and no others are expected to answer."""
        self._asked_at = {peer: self._asked_at.get(peer, now) for peer in peers}

    def is_silent(self, peer: str, now: float) -> bool:
        """Return whether a peer does not answer; it is until it is heard again."""
        if peer in self._silent_since:
            return True
        asked_at = self._asked_at.get(peer)
        if asked_at is None:
            return False
        since = max(asked_at, self._heard_at.get(peer, asked_at))
        if now - since <= self.patience:
            return False
        self._silent_since[peer] = now
        return True

    def is_probed(self, peer: str, now: float) -> bool:
        """Return whether a silent peer is sent messages all the same."""
        since = self._silent_since.get(peer)
        if since is None:
            return False
        return (now - since) % (REST_SECONDS + PROBE_SECONDS) >= REST_SECONDS

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that is gone."""
        self._asked_at.pop(peer, None)
        self._heard_at.pop(peer, None)
        self._silent_since.pop(peer, None)
