"""CBOR encoding of the configuration for checkpoints."""

from __future__ import annotations

import cbor2

from wisteriagw.checkpoints import CheckpointCodec
from wisteriagw.config._config_state import ConfigState

SET_FIELDS = ("customers", "draining", "void_keys")


def encode_config(state: ConfigState) -> bytes:
    """Encode a configuration; equal configurations give equal bytes."""
    fields = state._asdict()
    for name in SET_FIELDS:
        fields[name] = sorted(fields[name])
    return cbor2.dumps(fields, canonical=True)


def decode_config(data: bytes) -> ConfigState:
    """Decode a configuration, or raise ValueError."""
    try:
        fields = cbor2.loads(data)
        for name in SET_FIELDS:
            fields[name] = frozenset(fields[name])
        return ConfigState(**fields)
    except (cbor2.CBORDecodeError, KeyError, TypeError) as error:
        raise ValueError(f"not a configuration: {error}") from error


CONFIG_CODEC = CheckpointCodec("config-1", encode_config, decode_config)
