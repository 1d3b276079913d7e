"""Mesh of the entry VMs: WebSocket connections that carry CBOR messages."""

from __future__ import annotations

from wisteriagw.mesh._mesh import Mesh
from wisteriagw.mesh._mesh_counters import MeshCounters
from wisteriagw.mesh._peer_address import PeerAddress
from wisteriagw.messages import register_message

__all__ = ["Mesh", "MeshCounters", "PeerAddress", "register_message"]
