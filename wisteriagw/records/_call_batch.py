"""Log record: many claims and results in one append."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CallBatch(NamedTuple):
    """Claims and results collected by one batcher.

    Attributes
    ----------
    batcher : str
        VM that appended the batch.
    written_at : float
        Wall-clock time of the append; the validity of a key counts from it.
    entries : list of bytes
        ``CallClaimed`` and ``CallFinished`` records in their encoded form.
    """

    batcher: str
    written_at: float
    entries: list
