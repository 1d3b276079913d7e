"""Usage of ended windows that a relay writes for the VMs that chose it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._usage_delegation import is_append_due
from wisteriagw.gateway._usage_digest import compute_usage_digest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.gateway._served_window import ServedWindow


class ServedUsage:
    """Counts that were received to be stored, and those that are stored.

    The sender states that the window has ended there and that the counts are complete.
    A confirmation names a digest of the counts that were appended, so counts that have
    changed since are not taken for stored.
    """

    def __init__(self) -> None:
        self._pending: dict[ServedWindow, dict[str, int]] = {}
        self._stored: dict[ServedWindow, int] = {}
        self._confirmations: dict[str, list[tuple[str, int, int]]] = {}
        self._pending_since = float("inf")

    def record_closed(
        self, key: ServedWindow, counts: Mapping[str, int], now: float
    ) -> None:
        """Record the counts of a window that has ended at their sender."""
        if self._stored.get(key) == compute_usage_digest(counts):
            # The confirmation was lost.
            self._confirm(key)
            return
        if not self._pending:
            self._pending_since = now
        self._pending[key] = dict(counts)

    def serves(self, own_vm: str, window: int) -> bool:
        """Return whether other VMs sent their counts of a window or a later one."""
        return any(
            key.vm != own_vm and key.window >= window
            for key in (*self._pending, *self._stored)
        )

    def is_due(self, now: float) -> bool:
        """Return whether the pending counts are to be appended now."""
        if not self._pending:
            return False
        newest = max(key.window for key in self._pending)
        return is_append_due(
            self._list_vms(newest),
            self._list_vms(newest - 1),
            now - self._pending_since,
        )

    def list_pending(self) -> dict[ServedWindow, dict[str, int]]:
        """Return the counts that are not stored."""
        return dict(self._pending)

    def record_stored(self, batch: Mapping[ServedWindow, dict[str, int]]) -> None:
        """Record that the store has accepted counts."""
        for key, counts in batch.items():
            self._stored[key] = compute_usage_digest(counts)
            self._confirm(key)
            if self._pending.get(key) == counts:
                del self._pending[key]

    def pop_confirmations(self) -> dict[str, tuple]:
        """Return rows of process, window and digest to send, by VM."""
        confirmations, self._confirmations = self._confirmations, {}
        return {vm: tuple(rows) for vm, rows in confirmations.items()}

    def forget_stored(self) -> None:
        """Record that the store may have lost what it accepted."""
        self._stored.clear()
        self._confirmations.clear()

    def prune(self, oldest: int) -> None:
        """Drop the windows before the oldest that is not sealed."""
        for known in (self._pending, self._stored):
            for key in [key for key in known if key.window < oldest]:
                del known[key]

    def _confirm(self, key: ServedWindow) -> None:
        row = (key.incarnation, key.window, self._stored[key])
        self._confirmations.setdefault(key.vm, []).append(row)

    def _list_vms(self, window: int) -> set[str]:
        return {
            key.vm for key in (*self._pending, *self._stored) if key.window == window
        }
