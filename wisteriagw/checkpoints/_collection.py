"""Parts of checkpoints read so far."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.checkpoints._checkpoint import Checkpoint

if TYPE_CHECKING:
    from wisteriagw.records import CheckpointPart

MAX_OPEN_GROUPS = 8

PartKey = tuple[int, bytes, int]


class PartCollection(NamedTuple):
    """Newest complete checkpoint and the parts of newer ones.

    Attributes
    ----------
    fold : str
        Parts of other folds are not kept.
    newest : Checkpoint or None
        Complete checkpoint with the highest offset.
    groups : dict
        Data by index of the part, by (through, digest, number of parts).
    """

    fold: str
    newest: Checkpoint | None
    groups: dict[PartKey, dict[int, bytes]]


def build_collection(fold: str) -> PartCollection:
    """Return a collection without parts."""
    return PartCollection(fold, None, {})


def add_part(
    collection: PartCollection, part: CheckpointPart, offset: int
) -> PartCollection:
    """Return the collection with the part that was read at an offset.

    Parts of several writers may be interleaved, so the digest distinguishes them.
    Writers that stop before the last part leave incomplete groups; the oldest of these
    is dropped when there are too many.
    """
    if part.fold != collection.fold or not 0 <= part.part < part.parts:
        return collection
    # A part cannot include itself or a record after itself.
    if part.through >= offset:
        return collection
    newest = collection.newest
    if newest is not None and part.through <= newest.through:
        return collection
    key = (part.through, part.digest, part.parts)
    group = {**collection.groups.get(key, {}), part.part: part.data}
    groups = {**collection.groups, key: group}
    if len(group) < part.parts:
        if len(groups) > MAX_OPEN_GROUPS:
            groups.pop(min(groups))
        return collection._replace(groups=groups)
    groups.pop(key)
    data = b"".join(group[index] for index in range(part.parts))
    if hashlib.sha256(data).digest() != part.digest:
        return collection._replace(groups=groups)
    newer = {other: kept for other, kept in groups.items() if other[0] > part.through}
    newest = Checkpoint(part.through, part.parts, data)
    return collection._replace(newest=newest, groups=newer)
