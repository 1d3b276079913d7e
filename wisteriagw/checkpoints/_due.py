"""Decision whether to write a checkpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.checkpoints._checkpoint_progress import CheckpointProgress
    from wisteriagw.checkpoints._retention import Retention

RECORDS_BETWEEN_CHECKPOINTS = 1000


def is_checkpoint_due(
    progress: CheckpointProgress, retention: Retention, now: float
) -> bool:
    """Return whether the writer should write a checkpoint now.

    The parts of the newest checkpoint do not count as records, because otherwise each
    checkpoint would cause the next one. After half of the retention time one is due
    without any new record, because the log also removes the checkpoint of an idle
    stream.
    """
    if progress.next_offset == 0:
        return False
    if now - progress.seen_at >= retention.seconds / 2:
        return True
    grown = progress.next_offset - 1 - progress.through
    records = grown - progress.parts
    if records <= 0:
        return False
    return records >= RECORDS_BETWEEN_CHECKPOINTS or grown >= retention.records / 2
