"""Encoding of the state of a fold in checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class CheckpointCodec(NamedTuple):
    """Encoder and decoder of a state.

    Attributes
    ----------
    fold : str
        Name and version of the encoding; checkpoints with another one are ignored.
    encode : callable
        Returns the bytes of a state.
    decode : callable
        Returns the state from its bytes, or raises ValueError.
    """

    fold: str
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
