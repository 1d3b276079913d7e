"""CBOR form of the configuration in checkpoints."""

from __future__ import annotations

import cbor2

from wisteriagw.checkpoints import CheckpointCodec
from wisteriagw.config._config_state import ConfigState

SETS = ("customers", "draining", "void_keys")


def encode_config(state: ConfigState) -> bytes:
    """Return the bytes of a configuration; equal ones have equal bytes."""
    fields = state._asdict()
    for name in SETS:
        fields[name] = sorted(fields[name])
    return cbor2.dumps(fields, canonical=True)


def decode_config(data: bytes) -> ConfigState:
    """Return the configuration in some bytes, or raise ValueError."""
    try:
        fields = cbor2.loads(data)
        for name in SETS:
            fields[name] = frozenset(fields[name])
        return ConfigState(**fields)
    except (cbor2.CBORDecodeError, KeyError, TypeError) as error:
        raise ValueError(f"not a configuration: {error}") from error


CONFIG_CODEC = CheckpointCodec("config-1", encode_config, decode_config)
