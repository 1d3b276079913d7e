"""Usage of all VMs as the store has it."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.platform import StoreRecord

logger = logging.getLogger(__name__)


class UsageWindows:
    """Fold of the usage topic: counts by window, and windows that are sealed.

    A window is sealed by a record that holds its figures; what comes later does not
    change them, so every holder of the authority reports the same.

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
        self._open: dict[int, dict[str, int]] = {}
        self._batches: set[tuple[str, int]] = set()

    def take_records(self, records: tuple[StoreRecord, ...]) -> None:
        """Apply records in their order."""
        for record in records:
            try:
                self._take(json.loads(record.value))
            except (ValueError, TypeError, KeyError, AttributeError) as error:
                logger.warning("usage record %d: %s", record.offset, error)

    def get_counts(self, window: int) -> dict[str, int]:
        """Return the counts of a window that is not sealed."""
        return self._open.get(window, {})

    def list_unsealed(self, newest: int) -> list[int]:
        """Return the windows up to one that are not sealed, oldest first."""
        if self.first is None:
            return []
        return [w for w in range(self.first, newest + 1) if w not in self.sealed]

    def _take(self, fields: dict[str, Any]) -> None:
        if "sealed" in fields:
            window = int(fields["sealed"])
            if window not in self.sealed:
                self.sealed[window] = dict(fields["counts"])
                self._open.pop(window, None)
                self._note_window(window)
            return
        batch = (str(fields["batch"][0]), int(fields["batch"][1]))
        if batch in self._batches:
            return
        self._batches.add(batch)
        for text, counts in fields["windows"].items():
            window = int(text)
            self._note_window(window)
            if window in self.sealed:
                logger.warning("usage of the sealed window %d came late", window)
                continue
            kept = self._open.setdefault(window, {})
            for customer, count in counts.items():
                kept[customer] = kept.get(customer, 0) + int(count)

    def _note_window(self, window: int) -> None:
        if self.first is None or window < self.first:
            self.first = window


def encode_seal(window: int, counts: dict[str, int]) -> bytes:
    """Return the record that fixes the figures of a window."""
    return json.dumps({"sealed": window, "counts": counts}).encode("utf-8")
