"""Topics of the platform's store, kept in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.eras import EraTracker, StorePosition
from wisteriagw.platform import (
    AppendConflictError,
    StorePage,
    StoreRecord,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping


class TopicStore:
    """Implements the calls of the store client in memory.

    Attributes
    ----------
    down : bool
        Whether calls fail without an effect.
    lost_replies : int
        Number of next appends that take effect but raise an error.
    hold_appends : int
        Number of next appends that raise an error and are held back.
    calls : int
        Number of calls so far.
    eras : EraTracker
        Era of the store.
    page_records : int
        Maximum number of records in the answer to a read.
    held_appends : list
        Appends that were held back; ``apply_held_appends`` applies them.
    """

    def __init__(self) -> None:
        self.down = False
        self.lost_replies = 0
        self.hold_appends = 0
        self.calls = 0
        self.page_records = 10_000
        self.eras = EraTracker()
        self.held_appends: list[
            tuple[str, list[tuple[str, bytes]], StorePosition | None]
        ] = []
        self._records: dict[str, list[StoreRecord]] = {}
        self._first: dict[str, int] = {}

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append one record without faults and return its offset."""
        records = self._records.setdefault(topic, [])
        records.append(StoreRecord(len(records), key, value, self.eras.era))
        return len(records) - 1

    def get_end(self, topic: str) -> int:
        """Return the offset after the newest record."""
        return len(self._records.get(topic, ()))

    def list_records(self, topic: str, start: int) -> list[StoreRecord]:
        """Return the records from an offset on."""
        return self._records.get(topic, [])[start:]

    def truncate(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key stays readable."""
        self._first[topic] = len(self._records.get(topic, ()))

    def restore(self, ends: Mapping[str, int]) -> None:
        """Begin a new era in which each topic ends at an offset, by default at 0."""
        era = max(self.eras.era, 0) + 1
        for topic, records in self._records.items():
            kept = records[: ends.get(topic, 0)]
            self._records[topic] = [record._replace(era=era) for record in kept]
        self._first.clear()
        self.eras.observe(era)

    def apply_held_appends(self) -> None:
        """Apply the held appends whose expected end offset still matches."""
        held, self.held_appends = self.held_appends, []
        for topic, records, expected_end in held:
            end = self.get_end(topic)
            if expected_end is None or expected_end.offset == end:
                for key, value in records:
                    self.put(topic, key, value)

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        expected_end: StorePosition | None = None,
    ) -> StorePosition:
        """Append records, or raise the error of an active fault."""
        self._check()
        if self.hold_appends:
            self.hold_appends -= 1
            self.held_appends.append((topic, list(records), expected_end))
            raise StoreUnavailableError("no answer", may_have_run=True)
        end = self._find_end(topic)
        if expected_end is not None and expected_end.offset != end.offset:
            raise AppendConflictError(end)
        for key, value in records:
            self.put(topic, key, value)
        if self.lost_replies:
            self.lost_replies -= 1
            raise StoreUnavailableError("no answer", may_have_run=True)
        if expected_end is not None and expected_end.era != end.era:
            raise AppendConflictError(self._find_end(topic))
        return end

    async def read(
        self, topic: str, start: StorePosition, wait: float = 0.0
    ) -> StorePage:
        """Return the records from a position on, without waiting for new ones."""
        self._check()
        era, first = self.eras.era, self._first.get(topic, 0)
        known = self._records.get(topic, [])
        if start.era != era:
            return StorePage((), StorePosition(era, 0), complete=False)
        if not first <= start.offset <= len(known):
            return StorePage((), StorePosition(era, first), complete=False)
        offset = int(start.offset)
        records = tuple(known[offset : offset + self.page_records])
        end = offset + len(records)
        return StorePage(records, StorePosition(era, end), at_tip=end >= len(known))

    async def read_newest(self, topic: str) -> StorePage:
        """Return the newest record of each key; empty values count as deleted."""
        self._check()
        newest: dict[str, StoreRecord] = {}
        records = self._records.get(topic, [])
        for record in records:
            newest[record.key] = record
        kept = tuple(record for record in newest.values() if record.value)
        return StorePage(kept, self._find_end(topic))

    def _find_end(self, topic: str) -> StorePosition:
        return StorePosition(self.eras.era, self.get_end(topic))

    def _check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("the store is down", may_have_run=False)
