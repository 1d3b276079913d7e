"""Result of a search for a checkpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.checkpoints import Checkpoint, PartCollection


class SearchResult(NamedTuple):
    """Usable checkpoint, if any, the oldest offset in the log, and the parts read."""

    checkpoint: Checkpoint | None
    first_offset: int
    collection: PartCollection
