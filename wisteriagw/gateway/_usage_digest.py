"""Digest of the counts of one usage window."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping


def compute_usage_digest(counts: Mapping[str, int]) -> int:
    """Return a digest that tells counts of one process and window apart."""
    rows = sorted(counts.items())
    return xxhash.xxh3_64_intdigest(repr(rows).encode("utf-8"))
