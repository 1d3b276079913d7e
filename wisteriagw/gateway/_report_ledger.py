"""Figures of usage windows, kept in the store before they are reported."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from wisteriagw.jsondata import DECODE_ERRORS, load_json
from wisteriagw.platform import REPORTS_TOPIC, AppendConflictError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.eras import StorePosition
    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

# Windows whose figures are kept, each under a key of its own that a later window takes
# over. More than a holder of the authority reports again.
KEPT_WINDOWS = 8


class ReportLedger:
    """Windows that may have been reported, with the figures of the newest ones.

    The topic is keyed, so the entries outlast the history of the store. Each entry is
    appended under the condition that no other holder of the authority has added one.

    Attributes
    ----------
    figures : dict of int to dict
        Figures by window; a window is never reported with other ones.
    newest : int or None
        Newest window that was entered.
    """

    def __init__(self, store: StoreClient) -> None:
        self.figures: dict[int, dict[str, int]] = {}
        self.newest: int | None = None
        self._store = store
        self._end: StorePosition | None = None

    def covers(self, window: int) -> bool:
        """Return whether a window is too old to be entered."""
        return self.newest is not None and window <= self.newest

    async def read(self, latest: int) -> None:
        """Read the entries, without those of windows that are far after the latest one.

        Raises StoreUnavailableError.
        """
        self._end = None
        page = await self._store.read_newest(REPORTS_TOPIC)
        for record in page.records:
            self._apply(record, latest + KEPT_WINDOWS)
        self._end = page.next_position

    async def enter(self, window: int, counts: Mapping[str, int]) -> bool:
        """Enter the figures of a window; return whether they are in the store.

        After a conflict the entries of the other holder have been read. Raises
        StoreUnavailableError.
        """
        if self._end is None:
            await self.read(window)
            return False
        end, self._end = self._end, None
        value = json.dumps({"window": window, "counts": dict(counts)}).encode("utf-8")
        record = (str(window % KEPT_WINDOWS), value)
        try:
            position = await self._store.append(REPORTS_TOPIC, [record], end)
        except AppendConflictError as error:
            logger.info("another process has entered usage to report: %s", error)
            await self.read(window)
            return False
        self._end = position._replace(offset=position.offset + 1)
        self._include(window, dict(counts))
        return True

    def _apply(self, record: StoreRecord, latest: int) -> None:
        try:
            fields = load_json(record.value)
            window = int(fields["window"])
            counts = {str(name): int(n) for name, n in fields["counts"].items()}
            if window > latest:
                raise ValueError(f"window {window} is in the future")
        except DECODE_ERRORS as error:
            logger.warning("invalid entry of reported usage: %s", error)
            return
        self._include(window, counts)

    def _include(self, window: int, counts: dict[str, int]) -> None:
        self.figures[window] = counts
        self.newest = window if self.newest is None else max(window, self.newest)
        for old in [w for w in self.figures if w <= self.newest - KEPT_WINDOWS]:
            del self.figures[old]
