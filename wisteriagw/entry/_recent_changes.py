"""Recent changes that were read back from the log, by nonce."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.entry._applied_change import AppliedChange

MAX_CHANGES = 1000


class RecentChanges:
    """Looks up the result of a change whose append had no reply."""

    def __init__(self) -> None:
        self._changes: OrderedDict[str, AppliedChange] = OrderedDict()

    def add(self, nonce: str, change: AppliedChange) -> None:
        """Add a change; the first record with a nonce takes precedence."""
        self._changes.setdefault(nonce, change)
        if len(self._changes) > MAX_CHANGES:
            self._changes.popitem(last=False)

    def find(self, nonce: str) -> AppliedChange | None:
        """Return the change with a nonce, or None if it was not read."""
        return self._changes.get(nonce)
