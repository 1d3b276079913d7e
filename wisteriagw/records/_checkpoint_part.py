"""Log record: a part of a checkpoint."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CheckpointPart(NamedTuple):
    """A part of the encoded state of a fold up to an offset of the same stream.

    Attributes
    ----------
    fold : str
        Name and version of the fold's encoding.
    through : int
        Offset of the last record that the state includes.
    part, parts : int
        Index of this part and number of all parts.
    digest : bytes
        SHA-256 of the joined data of all parts.
    data : bytes
        This part of the encoded state.
    """

    fold: str
    through: int
    part: int
    parts: int
    digest: bytes
    data: bytes
