"""Relay selection and failure detection for peer updates, without I/O."""

from __future__ import annotations

from wisteriagw.relays._peer_failure_detector import PeerFailureDetector
from wisteriagw.relays._relay_choice import choose_relays
from wisteriagw.relays._relay_peer_choice import choose_relay_peers
from wisteriagw.relays._relay_peers import RelayPeers

__all__ = ["PeerFailureDetector", "RelayPeers", "choose_relay_peers", "choose_relays"]
