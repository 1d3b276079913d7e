"""Prompt parts for processes that have just started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._delta_queue import MAX_ROWS
from wisteriagw.messages import CachedPartsTransfer

if TYPE_CHECKING:
    from wisteriagw.gateway._relay_ties import RelayTies
    from wisteriagw.mesh import Mesh
    from wisteriagw.placement import CachedParts


class Greetings:
    """Tells a new process what engines keep, if this VM is the one to do it."""

    def __init__(self, mesh: Mesh, ties: RelayTies, parts: CachedParts) -> None:
        self._mesh = mesh
        self._ties = ties
        self._parts = parts
        self._processes: dict[str, str] = {}
        self._waiting: dict[str, list[tuple]] = {}

    def note_process(self, vm: str, incarnation: str) -> None:
        """Take the process that a VM's message came from."""
        if self._processes.get(vm) == incarnation:
            return
        self._processes[vm] = incarnation
        if self._ties.is_greeter(vm):
            self._waiting[vm] = self._parts.list_parts()

    def send(self) -> None:
        """Send what is waiting to those that are connected."""
        peers = self._ties.links.list_peers()
        for vm, rows in list(self._waiting.items()):
            if vm not in peers or not rows:
                del self._waiting[vm]
                continue
            if self._mesh.send(vm, CachedPartsTransfer(tuple(rows[:MAX_ROWS]))):
                del rows[:MAX_ROWS]
