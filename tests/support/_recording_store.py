"""Store of the log stand-in that folds records before retention removes them."""

from __future__ import annotations

from wisteriagw.leases import LEASES_STREAM, apply_record, build_empty_leases, get_entry
from wisteriagw.records import decode_record
from wisteriagw.standins._log_store import LogStore


class RecordingStore(LogStore):
    """Store that folds the lease stream as a reader that misses no record.

    Attributes
    ----------
    leases : list of Lease
        Lease of ``fleet`` after each offset.
    """

    def __init__(self, max_records: int) -> None:
        super().__init__(max_records)
        self.leases: list = []
        self._state = build_empty_leases()

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and fold it."""
        offset = super().append(stream, data)
        if stream == LEASES_STREAM:
            record = decode_record(data)
            self._state = apply_record(record, self._state, offset)
            self.leases.append(get_entry(self._state, "fleet").lease)
        return offset
