"""Tests of entries that another writer left in the lists that VMs read."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.test_gateway_feeds import PollingStore, advance, build_configuration
from wisteriagw.authority import Grant
from wisteriagw.findings import Finding
from wisteriagw.gateway._authority_controller import decode_grant
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._fleet_feed import FleetFeed
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._quarantine_store import QuarantineStore
from wisteriagw.gateway._usage_windows import UsageWindows, encode_counts
from wisteriagw.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    QUARANTINES_TOPIC,
    REGISTER_TOPIC,
    StoreRecord,
    decode_configuration,
    decode_entry,
    decode_handle,
)
from wisteriagw.platform._engine_client import decode_parts

DEEP = b"[" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000
ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
HUGE = "1" + "0" * 400
# Values of one field of an entry, as JSON.
ODD_FIELDS = [
    ("slots", HUGE),
    ("slots", "1e400"),
    ("slots", "-1"),
    ("slots", str(2**70)),
    ("slots", "NaN"),
    ("slots", "true"),
    ("born", HUGE),
    ("born", "-Infinity"),
    ("address", '"10.0.0.1:99999"'),
    ("address", '"10.0.0.1:0"'),
    ("address", '"10.0.0.1:' + HUGE + '"'),
    ("address", '"10.0.0.1:\\u0668\\u0660"'),
    ("address", '"example.org:80"'),
    ("address", '"10.0.0.256:80"'),
    ("address", '":80"'),
    ("address", "80"),
    ("zone", '"\\ud800"'),
    ("zone", '["north"]'),
    ("service", '"l\\nm"'),
    ("state", '"resting"'),
    ("stage", "[1]"),
    ("stage", '{"a": 1}'),
]
ODD_ENTRIES = [
    DEEP,
    DEEP_OBJECT,
    b"\xff\x00",
    b"{",
    b"[]",
    b"null",
    b"9" * 5_000,
    *(
        json.dumps({**ENTRY, field: "@"}).replace('"@"', value).encode()
        for field, value in ODD_FIELDS
    ),
]
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, "a"]), inner, max_size=4)
    ),
    max_leaves=8,
)


class TestRegister:
    """One odd entry ended the reading of the register, or requests to others."""

    def start(self) -> FleetFeed:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = PollingStore(self.clock)
        feed = FleetFeed(self.clock, self.store, lambda server: None)
        feed.follower.start()
        return feed

    def put(self, name: str, value: bytes) -> None:
        self.store.topics.put(REGISTER_TOPIC, name, value)

    @pytest.mark.parametrize("value", ODD_ENTRIES)
    @pytest.mark.parametrize("first", [True, False], ids=["snapshot", "record"])
    def test_other_entries_hold(self, value: bytes, first: bool) -> None:
        feed = self.start()
        if not first:
            advance(self.clock, 1.0)
        self.put("i-1", json.dumps(ENTRY).encode())
        self.put("i-2", value)
        advance(self.clock, 1.0)
        self.put("i-3", json.dumps({**ENTRY, "address": "10.0.0.3:80"}).encode())
        advance(self.clock, 1.0)
        assert sorted(feed.fleet.servers) == ["i-1", "i-3"]
        self.put("i-1", b"")
        advance(self.clock, 1.0)
        assert sorted(feed.fleet.servers) == ["i-3"]

    @pytest.mark.parametrize("name", ["", "i 2", "i-2\r\nX-A: 1", "\u0456-2", "\ufffd"])
    def test_name_that_no_header_can_hold(self, name: str) -> None:
        feed = self.start()
        self.put(name, json.dumps(ENTRY).encode())
        self.put("i-1", json.dumps(ENTRY).encode())
        advance(self.clock, 1.0)
        assert list(feed.fleet.servers) == ["i-1"]

    @given(json_values, json_values)
    @settings(max_examples=300, deadline=None)
    def test_any_json_is_decoded_or_found_invalid(self, fields, value) -> None:
        for data in (fields, {**ENTRY, "slots": value}, {**ENTRY, "address": value}):
            entry = decode_entry("i-1", json.dumps(data).encode())
            if isinstance(entry, Finding):
                continue
            assert 1 <= entry.slots < 2**53 and 0 < entry.address[1] < 2**16
            assert (entry.slots + 1.0) / entry.slots > 1.0


class TestOtherLists:
    """Odd records in the system's own topics must not end the reading either."""

    @pytest.mark.parametrize("value", ODD_ENTRIES)
    def test_configuration(self, value: bytes) -> None:
        clock = Clock()
        store = PollingStore(clock)
        feed = ConfigurationFeed(clock, store, 5.0, lambda table: None)
        feed.follower.start()
        for version in (3, 4):
            store.topics.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)
            data = build_configuration(version)
            store.topics.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, data)
            advance(clock, 0.5)
            assert feed.table.version == version

    @given(json_values)
    @settings(max_examples=200, deadline=None)
    def test_configuration_of_any_json(self, value) -> None:
        fields = json.loads(build_configuration(3))
        for name in ("version", "routes", "services", "tenants", "limits"):
            decode_configuration(json.dumps({**fields, name: value}).encode())

    @pytest.mark.parametrize("value", ODD_ENTRIES)
    def test_members(self, value: bytes) -> None:
        members = self.read_members(value)
        assert sorted(members.entries) == ["vm-1", "vm-3"]

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("port", "99999"),
            ("port", "0"),
            ("port", HUGE),
            ("port", '"7000"'),
            ("capacity", "NaN"),
            ("capacity", "[1]"),
            ("capacity", "1e400"),
            ("data_centre", "null"),
            ("host", '"\\ud800"'),
            ("front", "[]"),
        ],
    )
    def test_members_with_an_odd_field(self, field: str, value: str) -> None:
        member = Member("vm-2", "north", "10.0.0.2:80", "10.0.0.2", 7000, "b")
        data = json.dumps({**member._asdict(), field: "@"}).replace('"@"', value)
        members = self.read_members(data.encode())
        assert sorted(members.entries) == ["vm-1", "vm-3"]

    def read_members(self, value: bytes) -> Members:
        clock = Clock()
        store = PollingStore(clock)
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 7000, "a")
        members = Members(clock, store, own)
        members.register()
        store.topics.put(MEMBERS_TOPIC, "vm-2", value)
        advance(clock, 3.0)
        third = own._replace(vm="vm-3")
        store.topics.put(MEMBERS_TOPIC, "vm-3", json.dumps(third._asdict()).encode())
        advance(clock, 3.0)
        return members

    @pytest.mark.parametrize(
        "value",
        [
            *ODD_ENTRIES,
            b'{"vm": "a", "incarnation": "b", "fencing_number": "5"}',
            b'{"vm": "a", "incarnation": "b", "fencing_number": 1e400}',
            b'{"vm": "a", "incarnation": "b", "fencing_number": %s}' % HUGE.encode(),
            b'{"vm": ["a"], "incarnation": "b", "fencing_number": 5}',
        ],
    )
    def test_authority(self, value: bytes) -> None:
        with pytest.raises(ValueError):
            decode_grant(value)

    def test_sound_grant(self) -> None:
        grant = Grant("a", "b", 5, 3)
        assert decode_grant(json.dumps(grant._asdict()).encode()) == grant

    @pytest.mark.parametrize(
        "value",
        [
            *ODD_ENTRIES,
            b'{"sealed": 1e400, "counts": {}}',
            b'{"sealed": %s, "counts": {}}' % HUGE.encode(),
            b'{"sealed": -5000000, "counts": {}}',
            b'{"sealed": 8, "counts": 3}',
            b'{"vm": "a", "incarnation": "b", "windows": {"-5000000": {"t": 1}}}',
            b'{"vm": "a", "incarnation": "b", "windows": {"8": {"t": 1e400}}}',
            b'{"vm": "a", "incarnation": "b", "windows": {"x": {"t": 1}}}',
        ],
    )
    def test_usage(self, value: bytes) -> None:
        windows = UsageWindows()
        counts = encode_counts("vm-1", "p", {7: {"t-1": 3}})
        records = (StoreRecord(0, "", value), StoreRecord(1, "", counts))
        windows.apply_records(records)
        assert windows.sum_counts(7, {}) == {"t-1": 3}
        assert windows.list_unsealed(9)[-3:] == [7, 8, 9]
        assert len(windows.list_unsealed(9)) <= 1_000

    @pytest.mark.parametrize("value", [*ODD_ENTRIES, b"[[[1], 1e400, 1, 1]]"])
    def test_quarantines(self, value: bytes) -> None:
        clock = Clock()
        store = PollingStore(clock)
        store.topics.put(QUARANTINES_TOPIC, "quarantines", value)
        parts = CrashingParts(clock.seconds)
        reading = QuarantineStore(clock, store, parts, clock.seconds).read()
        errors = []
        Deferred.fromCoroutine(reading).addErrback(errors.append)
        advance(clock, 1.0)
        assert errors == []

    @pytest.mark.parametrize(
        "body",
        [
            DEEP,
            DEEP_OBJECT,
            b'{"kv_handle": "a\\r\\nX-A: 1"}',
            b'{"kv_handle": "\\u0456"}',
            b'{"kv_handle": "a b"}',
            b'{"kv_handle": 7}',
        ],
    )
    def test_handle_of_a_prefill(self, body: bytes) -> None:
        assert decode_handle(body) is None

    @pytest.mark.parametrize(
        "body",
        [
            DEEP,
            DEEP_OBJECT,
            b'{"held": 3}',
            b'{"held": [["", "\\ud800", 5, "m"], ["", "aa", %s, "m"]]}' % HUGE.encode(),
        ],
    )
    def test_parts_that_an_engine_keeps(self, body: bytes) -> None:
        assert decode_parts(body) == []
