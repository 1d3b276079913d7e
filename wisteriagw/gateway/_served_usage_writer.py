"""Writing of the usage of a data centre's VMs by a relay."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.gateway._usage_windows import encode_counts
from wisteriagw.gateway._usage_writer import MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS
from wisteriagw.platform import USAGE_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.gateway._served_usage import ServedUsage
    from wisteriagw.gateway._served_window import ServedWindow
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)


class ServedUsageWriter:
    """Appends the counts that VMs sent to be stored, in one call.

    The records are those that the VMs would write. They are totals of a process, so
    several writers of the same window do not change its figures.
    """

    def __init__(self, store: StoreClient, served: ServedUsage) -> None:
        self._store = store
        self._served = served
        self._backoff = MIN_BACKOFF_SECONDS
        self._retry_at = float("-inf")

    async def run_cycle(self, now: float) -> None:
        """Append what is due; what the store refuses is retried after a back-off."""
        if now < self._retry_at or not self._served.is_due(now):
            return
        batch = self._served.list_pending()
        records = [("", value) for value in encode_batch(batch)]
        try:
            await self._store.append(USAGE_TOPIC, records)
        except StoreUnavailableError as error:
            logger.info(
                "usage of %d VMs not written, retrying: %s", len(records), error
            )
            self._retry_at = now + self._backoff
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            return
        self._backoff = MIN_BACKOFF_SECONDS
        self._served.record_stored(batch)


def encode_batch(batch: Mapping[ServedWindow, dict[str, int]]) -> list[bytes]:
    """Return one record for each process."""
    processes: dict[tuple[str, str], dict[int, dict[str, int]]] = {}
    for key, counts in batch.items():
        windows = processes.setdefault((key.vm, key.incarnation), {})
        windows[key.window] = counts
    return [
        encode_counts(vm, incarnation, windows)
        for (vm, incarnation), windows in processes.items()
    ]
