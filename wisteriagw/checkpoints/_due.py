"""Decision when to write a checkpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.checkpoints._checkpoint_progress import CheckpointProgress
    from wisteriagw.checkpoints._retention import Retention

RECORDS_BETWEEN = 1000


def is_checkpoint_due(
    progress: CheckpointProgress, retention: Retention, now: float
) -> bool:
    """Return whether the writer shall write a checkpoint.

    The parts of the newest checkpoint do not count as records, because each checkpoint
    would cause the next one otherwise. Half of the retained time makes one due without
    any new record: in a quiet stream the log drops the checkpoint itself.
    """
    if progress.next_offset == 0:
        return False
    if now - progress.seen_at >= retention.seconds / 2:
        return True
    grown = progress.next_offset - 1 - progress.through
    records = grown - progress.parts
    if records <= 0:
        return False
    return records >= RECORDS_BETWEEN or grown >= retention.records / 2
