"""CBOR form of the usage state in checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import cbor2

from wisteriagw.checkpoints import CheckpointCodec
from wisteriagw.usage._state_codec import decode_usage_state, encode_usage_state

if TYPE_CHECKING:
    from wisteriagw.usage._usage_state import UsageState


def encode_usage(state: UsageState) -> bytes:
    """Encode a usage state as CBOR."""
    return cbor2.dumps(encode_usage_state(state), canonical=True)


def decode_usage(data: bytes) -> UsageState:
    """Decode a usage state; raises ValueError if the bytes are not valid."""
    try:
        return decode_usage_state(cbor2.loads(data))
    except (cbor2.CBORDecodeError, LookupError, TypeError) as error:
        raise ValueError(f"not a usage state: {error}") from error


USAGE_CODEC = CheckpointCodec("usage-1", encode_usage, decode_usage)
