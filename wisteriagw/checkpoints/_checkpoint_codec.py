"""How the state of a fold is encoded in checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class CheckpointCodec(NamedTuple):
    """The two directions of a state's encoding.

    Attributes
    ----------
    fold : str
        Name and version of the encoding; checkpoints with another one are ignored.
    encode : callable
        Returns the bytes of a state.
    decode : callable
        Returns the state in some bytes, or raises ValueError.
    """

    fold: str
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
