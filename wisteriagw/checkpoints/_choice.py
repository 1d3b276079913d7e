"""Choice of the checkpoint from which a reader starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.checkpoints._checkpoint import Checkpoint
    from wisteriagw.checkpoints._collection import PartCollection


def choose_checkpoint(
    collection: PartCollection, next_offset: int, first_offset: int
) -> Checkpoint | None:
    """Return the checkpoint that a reader may start from, or None.

    Parameters
    ----------
    collection : PartCollection
        Parts that were read.
    next_offset : int
        Offset that the reader needs next; an older checkpoint would revert its state.
    first_offset : int
        Oldest offset that the log keeps; the record after a checkpoint must be
        readable or be the tip, or else records would be skipped.
    """
    newest = collection.newest
    if newest is None or newest.through + 1 < max(next_offset, first_offset):
        return None
    return newest
