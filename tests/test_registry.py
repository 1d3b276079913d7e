"""Tests of the registries of messages and records."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from wisteriagw.findings import Finding
from wisteriagw.messages import (
    CachedPartsTransfer,
    FleetUpdate,
    GatewayUpdate,
    RelayUpdate,
    decode_message,
    encode_message,
)
from wisteriagw.records import KeyWithdrawn, decode_record, encode_record
from wisteriagw.registry import (
    TypeRegistry,
    decode_array,
    decode_map,
    encode_array,
    encode_map,
)

WORK = (("i-1", 100.0, 2.0),)
PARTS = (("i-1", "p", 9),)
UNAVAILABLE = (("i-1", 5.0),)
RESULTS = (("i-1", 1, 2, "n1"),)
ALIVE = (("n1", True, 0.1),)
USAGE = ((5, "t", 3),)
# Messages and their bytes as encoded when the classes still had their encoded names.
MESSAGES = [
    (
        FleetUpdate(
            12.5,
            (("n1", 3, 0.25),),
            4,
            0.5,
            77,
            1.5,
            ((9, "i-1", b"e"),),
            ALIVE,
            WORK,
            PARTS,
            UNAVAILABLE,
            RESULTS,
        ),
        "8d69466c6565744e657773fb40290000000000008183626e3103fb3fd000000000000004"
        "fb3fe0000000000000184dfb3ff800000000000081830963692d3141658183626e31f5fb"
        "3fb999999999999a818363692d31fb4059000000000000fb400000000000000081836369"
        "2d31617009818263692d31fb4014000000000000818463692d310102626e31",
    ),
    (
        GatewayUpdate(True, WORK, PARTS, UNAVAILABLE, RESULTS, "a", 3.5, USAGE, 8),
        "8a6b476174657761794e657773f5818363692d31fb4059000000000000fb400000000000"
        "0000818363692d31617009818263692d31fb4014000000000000818463692d310102626e"
        "316161fb400c00000000000081830561740308",
    ),
    (
        CachedPartsTransfer(PARTS),
        "826950617274734e657773818363692d31617009",
    ),
    (
        RelayUpdate(
            "north", True, "a", 3.5, ALIVE, WORK, PARTS, UNAVAILABLE, RESULTS, USAGE
        ),
        "8b6952656c61794e657773656e6f727468f56161fb400c0000000000008183626e31f5fb"
        "3fb999999999999a818363692d31fb4059000000000000fb4000000000000000818363692"
        "d31617009818263692d31fb4014000000000000818463692d310102626e31818305617403",
    ),
]

RECORD = (
    "a4646b696e646c4b657957697468647261776e686b65795f68617368416b686f70657261746f72"
    "63616e6e656e6f6e6365626e33"
)


# Encoded defaults of fields that were added to messages.
ENCODED_DEFAULTS = {0: b"\x00", -1: b"\x20", (): b"\x80"}


class Renamed(NamedTuple):
    """Type whose encoded name is not its class name."""

    count: int


def append_new_fields(message: NamedTuple, encoded: str) -> bytes:
    """Return the bytes with the defaults of the fields that were added since."""
    count = len(message) + 1
    old = bytes.fromhex(encoded)
    added = 0x80 + count - old[0]
    defaults = type(message)._field_defaults
    tail = b""
    for name in message._fields[len(message) - added :]:
        tail += ENCODED_DEFAULTS[defaults[name]]
    return bytes((0x80 + count,)) + old[1:] + tail


class TestEncodedNames:
    """A renamed class must keep its encoded name, or old peers and data are lost."""

    @pytest.mark.parametrize(("message", "encoded"), MESSAGES)
    def test_message_is_encoded_as_before_the_rename(
        self, message: NamedTuple, encoded: str
    ) -> None:
        assert encode_message(message) == append_new_fields(message, encoded)

    @pytest.mark.parametrize(("message", "encoded"), MESSAGES)
    def test_bytes_from_before_the_rename_are_decoded(
        self, message: NamedTuple, encoded: str
    ) -> None:
        decoded = decode_message(bytes.fromhex(encoded))
        assert type(decoded) is type(message)
        assert encode_message(decoded) == append_new_fields(message, encoded)

    def test_record_with_the_default_name_is_encoded_as_before(self) -> None:
        record = KeyWithdrawn(b"k", "ann", "n3")
        assert encode_record(record).hex() == RECORD
        assert decode_record(bytes.fromhex(RECORD)) == record

    @pytest.mark.parametrize(
        ("encode", "decode"), [(encode_array, decode_array), (encode_map, decode_map)]
    )
    def test_given_name_replaces_the_class_name(self, encode, decode) -> None:
        registry = TypeRegistry("value")
        assert registry.register(name="Original")(Renamed) is Renamed
        data = encode(registry, Renamed(3))
        assert b"Original" in data
        assert b"Renamed" not in data
        assert decode(registry, data, "here") == Renamed(3)
        unknown = data.replace(b"Original", b"Renaming")
        assert isinstance(decode(registry, unknown, "here"), Finding)

    @pytest.mark.parametrize(
        ("encode", "decode"), [(encode_array, decode_array), (encode_map, decode_map)]
    )
    def test_class_name_is_the_default(self, encode, decode) -> None:
        registry = TypeRegistry("value")
        assert registry.register(Renamed) is Renamed
        data = encode(registry, Renamed(3))
        assert b"Renamed" in data
        assert decode(registry, data, "here") == Renamed(3)
