"""Usage of all processes, folded from the records of the store."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

from wisteriagw.jsondata import DECODE_ERRORS, load_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisteriagw.platform import StoreRecord

logger = logging.getLogger(__name__)

# Windows that may be sealed late; the records of older ones have expired in the store.
MAX_UNSEALED_WINDOWS = 1_000


class UsageWindows:
    """Fold of the usage topic: counts by window, and windows that are sealed.

    A window is sealed by a record that holds its figures. Later records do not change
    them, so every holder of the authority reports the same figures.

    Attributes
    ----------
    sealed : dict of int to dict
        Figures of sealed windows.
    first : int or None
        First window that is known.
    """

    def __init__(self) -> None:
        self.sealed: dict[int, dict[str, int]] = {}
        self.first: int | None = None
        self._open: dict[int, dict[str, dict[str, int]]] = {}
        self._writers: dict[int, set[str]] = {}

    def apply_records(self, records: tuple[StoreRecord, ...]) -> None:
        """Apply records in their order."""
        for record in records:
            try:
                self._apply(load_json(record.value))
            except DECODE_ERRORS as error:
                logger.warning(
                    "invalid usage record at offset %d: %s", record.offset, error
                )

    def forget_before(self, window: int) -> None:
        """Forget the windows before one, which are reported no more."""
        if self.first is None or self.first >= window:
            return
        self.first = window
        for known in (self.sealed, self._open, self._writers):
            for old in [number for number in known if number < window]:
                del known[old]

    def forget_open(self) -> None:
        """Forget the windows that are not sealed, to read the topic anew."""
        self.first = None
        self._open.clear()
        self._writers.clear()

    def sum_counts(
        self, window: int, copies: Mapping[str, Mapping[str, int]]
    ) -> dict[str, int]:
        """Return a window's figures from the store's counts and peers' copies.

        Both are totals of a process, so the higher one of each customer counts.
        """
        stored = self._open.get(window, {})
        figures: dict[str, int] = {}
        for process in sorted({*stored, *copies}):
            counts = dict(stored.get(process, {}))
            for customer, count in copies.get(process, {}).items():
                counts[customer] = max(count, counts.get(customer, 0))
            for customer, count in counts.items():
                figures[customer] = figures.get(customer, 0) + count
        return figures

    def is_complete(self, window: int, vms: Iterable[str]) -> bool:
        """Return whether all the given VMs have written their counts of a window."""
        return self._writers.get(window, set()).issuperset(vms)

    def list_unsealed(self, newest: int) -> list[int]:
        """Return the windows up to one that are not sealed, oldest first."""
        if self.first is None:
            return []
        first = max(self.first, newest + 1 - MAX_UNSEALED_WINDOWS)
        return [w for w in range(first, newest + 1) if w not in self.sealed]

    def _apply(self, fields: dict[str, Any]) -> None:
        if "sealed" in fields:
            window = int(fields["sealed"])
            if window not in self.sealed:
                self.sealed[window] = dict(fields["counts"])
                self._open.pop(window, None)
                self._writers.pop(window, None)
                self._include_window(window)
            return
        vm, process = str(fields["vm"]), str(fields["incarnation"])
        for text, counts in fields["windows"].items():
            window = int(text)
            if window in self.sealed:
                logger.warning("ignored usage for window %d, already sealed", window)
                continue
            self._include_window(window)
            if not fields.get("copy", False):
                self._writers.setdefault(window, set()).add(vm)
            known = self._open.setdefault(window, {}).setdefault(process, {})
            for name, count in counts.items():
                known[name] = max(int(count), known.get(name, 0))

    def _include_window(self, window: int) -> None:
        if self.first is None or window < self.first:
            self.first = window


def encode_seal(window: int, counts: Mapping[str, int]) -> bytes:
    """Return the record that fixes the figures of a window."""
    return json.dumps({"sealed": window, "counts": dict(counts)}).encode("utf-8")


def encode_counts(
    vm: str,
    incarnation: str,
    windows: Mapping[int, Mapping[str, int]],
    *,
    copy: bool = False,
) -> bytes:
    """Return the record of a process's counts.

    A copy, written by another process, does not show that the windows are complete.
    """
    fields = {"vm": vm, "incarnation": incarnation, "windows": windows}
    if copy:
        fields["copy"] = True
    return json.dumps(fields).encode("utf-8")
