"""Quantiles of the recent responses of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ddsketch import DDSketch, LogarithmicMapping

if TYPE_CHECKING:
    from collections.abc import Mapping

# A bucket is half as wide again as the one before: 24 of them span 2 ms to 30 s, and a
# quantile is within 20%.
RELATIVE_ACCURACY = 0.2
MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)
TYPICAL_QUANTILE = 0.5
LATE_QUANTILE = 0.95
# With fewer responses, none is expected above the 0.95 quantile.
MIN_RESPONSES = 20.0


class Quantiles(NamedTuple):
    """Seconds until recent responses of a service began.

    Attributes
    ----------
    typical, late : float
        The 0.5 and the 0.95 quantile.
    """

    typical: float
    late: float


def compute_quantiles(buckets: Mapping[int, float]) -> Quantiles | None:
    """Return the quantiles of a sketch, or None if it has too few responses.

    Parameters
    ----------
    buckets : mapping
        Number of responses by the bucket of a DDSketch.
    """
    if sum(buckets.values()) < MIN_RESPONSES:
        return None
    sketch = DDSketch(RELATIVE_ACCURACY)
    for bucket, count in buckets.items():
        if count > 0.0:
            sketch.add(MAPPING.value(bucket), count)
    typical = sketch.get_quantile_value(TYPICAL_QUANTILE)
    return Quantiles(typical, sketch.get_quantile_value(LATE_QUANTILE))
