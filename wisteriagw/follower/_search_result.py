"""Result of a search for a checkpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.checkpoints import Checkpoint, PartCollection


class SearchResult(NamedTuple):
    """The usable checkpoint, if any, and the oldest offset that the log keeps."""

    checkpoint: Checkpoint | None
    first_offset: int
    collection: PartCollection
