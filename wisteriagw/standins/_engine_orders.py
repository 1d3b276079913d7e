"""Orders to the engine stand-in and the changes that they start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Fields of an order that each action applies.
ACTION_FIELDS = {
    "change_role": ("role",),
    "load_model": ("model", "version"),
    "load_version": ("version",),
    "load_adapter": ("adapter",),
}


class EngineOrders:
    """State of the engine, one change at a time.

    Attributes
    ----------
    conflicts : int
        Number of orders that were accepted although they arrived during a change or
        had a lower fencing number than an earlier order.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        change_seconds: float,
        *,
        checks_fencing: bool,
        crash: Callable[[], Any] | None = None,
    ) -> None:
        self.conflicts = 0
        self.fencing_number = -1
        self._clock = clock
        self._change_seconds = change_seconds
        self._checks_fencing = checks_fencing
        self._crash = crash
        self._state = {"role": "mixed", "model": "", "version": ""}
        self._adapters: list[str] = []
        self._last_order: dict[str, Any] = {}
        self._ready_at: float | None = None

    def accept(self, order: dict[str, Any]) -> str:
        """Start the ordered change; return the refusal code, or an empty string."""
        self._finish_change()
        number = int(order["fencing_number"])
        names = ACTION_FIELDS[order["action"]]
        values = {name: str(order[name]) for name in names}
        is_older = number < self.fencing_number
        is_changing = self._ready_at is not None
        if self._checks_fencing and is_older:
            return "old_fencing_number"
        if self._checks_fencing and is_changing:
            return "change_in_progress"
        if is_older or is_changing:
            self.conflicts += 1
        self.fencing_number = max(number, self.fencing_number)
        self._last_order = {"order_id": str(order["order_id"]), "values": values}
        self._ready_at = self._clock() + self._change_seconds
        return ""

    def describe(self) -> dict[str, Any]:
        """Return the state in the format of ``GET /state``."""
        self._finish_change()
        return {
            **self._state,
            "adapters": list(self._adapters),
            "changing": self._ready_at is not None,
            "last_order_id": self._last_order.get("order_id", ""),
            "fencing_number": self.fencing_number,
        }

    def step(self) -> None:
        """Call ``crash``, if it is set, in the middle of a change."""
        if self._crash is None or self._ready_at is None:
            return
        if self._clock() >= self._ready_at - self._change_seconds / 2:
            self._crash()

    def _finish_change(self) -> None:
        if self._ready_at is None or self._clock() < self._ready_at:
            return
        self._ready_at = None
        values = dict(self._last_order["values"])
        adapter = values.pop("adapter", None)
        if adapter is not None and adapter not in self._adapters:
            self._adapters.append(adapter)
        self._state.update(values)
