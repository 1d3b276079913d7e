"""Splitting of an encoded state into parts."""

from __future__ import annotations

import hashlib

from wisteriagw.records import CheckpointPart

PART_BYTES = 64 * 1024


def split_state(
    fold: str, through: int, data: bytes, part_bytes: int = PART_BYTES
) -> tuple[CheckpointPart, ...]:
    """Return the parts of an encoded state; an empty state has one empty part."""
    digest = hashlib.sha256(data).digest()
    starts = range(0, max(len(data), 1), part_bytes)
    return tuple(
        CheckpointPart(
            fold, through, part, len(starts), digest, data[start : start + part_bytes]
        )
        for part, start in enumerate(starts)
    )
