"""Transfer of cached prompt parts to processes that have just started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._delta_queue import MAX_SENT_PARTS
from wisteriagw.messages import CachedPartsTransfer

if TYPE_CHECKING:
    from wisteriagw.gateway._relay_peer_tracker import RelayPeerTracker
    from wisteriagw.mesh import Mesh
    from wisteriagw.placement import CachedParts


class InitialStateTransfer:
    """Sends a new process the parts that engines cache, if this VM has to."""

    def __init__(
        self, mesh: Mesh, tracker: RelayPeerTracker, parts: CachedParts
    ) -> None:
        self._mesh = mesh
        self._tracker = tracker
        self._parts = parts
        self._processes: dict[str, str] = {}
        self._pending: dict[str, list[tuple]] = {}

    def record_process(self, vm: str, incarnation: str) -> None:
        """Record the process that sent an update, and start a transfer if it is new."""
        if self._processes.get(vm) == incarnation:
            return
        self._processes[vm] = incarnation
        if self._tracker.is_initial_state_sender(vm):
            self._pending[vm] = self._parts.list_parts()

    def send(self) -> None:
        """Send pending rows to the VMs that are connected."""
        peers = self._tracker.peers.list_all()
        for vm, rows in list(self._pending.items()):
            if vm not in peers or not rows:
                del self._pending[vm]
                continue
            if self._mesh.send(vm, CachedPartsTransfer(tuple(rows[:MAX_SENT_PARTS]))):
                del rows[:MAX_SENT_PARTS]
