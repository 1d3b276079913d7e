"""Times of recent responses by service and kind."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.hedging._quantiles import MAPPING, Quantiles, compute_quantiles

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    Key = tuple[str, str]

# Responses of the last half minute count: long enough for 20 on a quiet service.
DECAY_SECONDS = 30.0
MIN_SECONDS = 0.002
MAX_SECONDS = 30.0
# Buckets by their name in a row; the value of one far beyond is not a finite number.
BUCKETS = {
    str(bucket): bucket
    for bucket in range(MAPPING.key(MIN_SECONDS), MAPPING.key(MAX_SECONDS) + 1)
}
# Smaller counts are dropped: after three decay times one response is worth 0.05.
MIN_COUNT = 0.05
# Rows that a VM sends with each update, for all services and kinds.
MAX_ROWS = 48
# The sums of the other VMs change with each of their updates, several times a second.
REFRESH_SECONDS = 0.5
SEPARATOR = "/"


class LatencyTable:
    """Decayed counts of responses by service, kind and bucket of a DDSketch."""

    def __init__(self) -> None:
        self._own: dict[Key, dict[int, float]] = {}
        self._decayed_at = 0.0
        self._merged: dict[Key, dict[int, float]] = {}
        self._merged_at = float("-inf")
        self._quantiles: dict[Key, Quantiles | None] = {}

    def add(self, service: str, kind: str, seconds: float, now: float) -> None:
        """Add a response that began some seconds after its request was sent."""
        if now - self._decayed_at > REFRESH_SECONDS:
            self._decay(now)
        bucket = MAPPING.key(min(max(seconds, MIN_SECONDS), MAX_SECONDS))
        buckets = self._own.setdefault((service, kind), {})
        # The counts stay as of the latest decay, to which a later response adds more.
        count = math.exp((now - self._decayed_at) / DECAY_SECONDS)
        buckets[bucket] = buckets.get(bucket, 0.0) + count

    def list_rows(self, now: float) -> list[tuple[str, tuple[float, ...]]]:
        """Return rows of key and count for the other VMs; the busiest services first.

        A sketch that does not fit as a whole is left out.
        """
        self._decay(now)
        rows: list[tuple[str, tuple[float, ...]]] = []
        by_count = sorted(self._own.items(), key=lambda item: -sum(item[1].values()))
        for (service, kind), buckets in by_count:
            if len(rows) + len(buckets) > MAX_ROWS:
                continue
            for bucket, count in buckets.items():
                key = SEPARATOR.join((service, kind, str(bucket)))
                rows.append((key, (round(count, 2),)))
        return rows

    def needs_refresh(self, now: float) -> bool:
        """Return whether the rows of the other VMs shall be merged again."""
        return now - self._merged_at >= REFRESH_SECONDS

    def merge(self, others: Mapping[str, tuple[float, ...]], now: float) -> None:
        """Merge the own counts with the sums of the other VMs."""
        self._decay(now)
        self._merged_at = now
        self._quantiles.clear()
        self._merged = {key: dict(buckets) for key, buckets in self._own.items()}
        for key, bucket, count in _decode(others):
            buckets = self._merged.setdefault(key, {})
            buckets[bucket] = buckets.get(bucket, 0.0) + count

    def get_quantiles(self, service: str, kind: str) -> Quantiles | None:
        """Return the quantiles as of the last merge, None with too few responses."""
        key = (service, kind)
        if key not in self._quantiles:
            self._quantiles[key] = compute_quantiles(self._merged.get(key, {}))
        return self._quantiles[key]

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._decayed_at - now) / DECAY_SECONDS)
        self._decayed_at = now
        for key, buckets in list(self._own.items()):
            kept = {
                bucket: count * factor
                for bucket, count in buckets.items()
                if count * factor >= MIN_COUNT
            }
            self._own[key] = kept
            if not kept:
                del self._own[key]


def _decode(
    rows: Mapping[str, tuple[float, ...]],
) -> Iterator[tuple[Key, int, float]]:
    """Yield service and kind, bucket and count of the rows that are well-formed."""
    for name, values in rows.items():
        parts = name.rsplit(SEPARATOR, 2)
        if len(parts) != 3 or not values:
            continue
        service, kind, number = parts
        bucket = BUCKETS.get(number)
        if bucket is not None:
            yield (service, kind), bucket, max(0.0, values[0])
