"""Tests of the configuration."""

from __future__ import annotations

import pathlib

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from tests.support import MemoryLog, VirtualClock
from wisteriagw.checkpoints import split_state
from wisteriagw.config import (
    CONFIG_CODEC,
    apply_record,
    build_empty_config,
    create_key,
    find_customer,
    find_refusal,
    hash_key,
    parse_sheet,
)
from wisteriagw.config._sheet_parsing import COLUMNS
from wisteriagw.findings import Finding
from wisteriagw.follower import StreamFollower
from wisteriagw.records import (
    CheckpointPart,
    CustomerCreated,
    DrainEnded,
    DrainRequested,
    KeyGiven,
    KeyWithdrawn,
    SheetPublished,
    decode_record,
    encode_record,
)

DEMO_SHEET = pathlib.Path(__file__).parents[1] / "tools" / "demo_sheet.csv"
PRIORITY, ADAPTERS = "row 2, column priority", "row 2, column adapters"
EMPTY_SHEET = {"customers": [], "models": [], "backend_servers": [], "routes": []}


def fold(*records: object):
    """Return the configuration after some records at offsets 0, 1 and so on."""
    state = build_empty_config()
    for offset, record in enumerate(records):
        state = apply_record(record, state, offset)
    return state


class TestSheetRace:
    """Guards against both sheets taking effect when two operators race."""

    def test_second_sheet_based_on_the_same_revision_has_no_effect(self) -> None:
        first = {**EMPTY_SHEET, "models": [{"name": "a", "version": "1"}]}
        second = {**EMPTY_SHEET, "models": [{"name": "b", "version": "1"}]}
        state = fold(
            SheetPublished(-1, first, "ann", "n1"),
            SheetPublished(-1, second, "bob", "n2"),
        )
        assert state.sheet == first
        assert state.sheet_revision == 0
        assert state.revision == 1

    def test_record_with_an_older_offset_has_no_effect(self) -> None:
        state = fold(CustomerCreated("a", "ann", "n1"), CustomerCreated("b", "x", "n"))
        assert apply_record(CustomerCreated("c", "ann", "n3"), state, 0) == state


DELIVERY = st.sampled_from(["delivered", "reply lost", "late", "outage"])


class FoldMachine(RuleBasedStateMachine):
    """Operators whose appends race, are lost or arrive late, and polling readers.

    ``states`` holds the configuration at each offset, folded from every record.
    """

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.log, self.clock = MemoryLog(10), VirtualClock()
        self.readers = [self.build_reader(), self.build_reader()]
        self.states = [build_empty_config()]
        self.withdrawn: dict[bytes, int] = {}
        self.winners: dict[int, list[str]] = {}
        self.revisions = [(-1, -1), (-1, -1)]
        self.append(CustomerCreated("market", "ann", "n"), "delivered")

    def build_reader(self) -> StreamFollower:
        return StreamFollower(
            self.log,
            "config",
            build_empty_config(),
            apply_record,
            self.clock,
            CONFIG_CODEC,
        )

    def follow(self) -> None:
        """Fold the records that reached the log, and record the effect of each."""
        for offset in range(len(self.states) - 1, self.log.tip("config")):
            (found,) = self.log.store.read("config", offset, 1).records
            record, state = decode_record(found.data), self.states[-1]
            if not isinstance(record, (Finding, CheckpointPart)):
                refusal = find_refusal(record, state)
                state = apply_record(record, state, offset)
                if isinstance(record, SheetPublished):
                    self.record_sheet(record, refusal, offset)
                if isinstance(record, KeyWithdrawn):
                    self.withdrawn.setdefault(record.key_hash, offset)
            self.states.append(state)

    def record_sheet(self, record, refusal, offset: int) -> None:
        current = self.states[-1]
        if record.based_on == current.sheet_revision:
            self.winners.setdefault(record.based_on, []).append(record.operator)
            assert refusal is None
            return
        assert (refusal.winner, refusal.revision) == (
            current.sheet_operator,
            current.sheet_revision,
        )

    @rule(
        kind=st.sampled_from([CustomerCreated, DrainRequested, DrainEnded]),
        delivery=DELIVERY,
    )
    def change(self, kind, delivery: str) -> None:
        self.append(kind("market", "ann", "n"), delivery)

    @rule(
        reader=st.integers(0, 1),
        operator=st.sampled_from(["ann", "bob"]),
        delivery=DELIVERY,
    )
    def publish(self, reader: int, operator: str, delivery: str) -> None:
        based_on = self.readers[reader].state.sheet_revision
        self.append(SheetPublished(based_on, EMPTY_SHEET, operator, "n"), delivery)

    @rule(target=keys, delivery=DELIVERY)
    def give_key(self, delivery: str) -> bytes:
        key_hash = hash_key(f"key-{self.log.appends}")
        self.append(KeyGiven("market", key_hash, "ann", "n"), delivery)
        return key_hash

    @rule(key_hash=keys, delivery=DELIVERY)
    def withdraw_key(self, key_hash: bytes, delivery: str) -> None:
        self.append(KeyWithdrawn(key_hash, "ann", "n"), delivery)

    @rule(garbage=st.booleans())
    def append_garbage_or_checkpoint(self, garbage: bool) -> None:
        data = CONFIG_CODEC.encode(self.states[-1])
        for part in split_state(CONFIG_CODEC.fold, len(self.states) - 2, data):
            self.append(part._replace(digest=b"") if garbage else part, "delivered")
        if garbage:
            self.log.append("config", b"\xa1\x00")
            self.follow()

    def append(self, record, delivery: str) -> None:
        self.log.lose_replies = int(delivery == "reply lost")
        self.log.hold_appends = delivery == "late"
        self.log.down = delivery == "outage"
        self.log.append("config", encode_record(record)).addErrback(lambda _: None)
        self.log.lose_replies, self.log.hold_appends = 0, False
        self.log.down = False
        self.follow()

    @rule(reader=st.integers(0, 1), down=st.sampled_from([False, False, True]))
    def poll(self, reader: int, down: bool) -> None:
        self.log.down = down
        self.readers[reader].poll().addErrback(lambda _: None)
        self.log.down = False

    @rule()
    def release_late_appends(self) -> None:
        self.log.release()
        self.follow()

    @rule(reader=st.integers(0, 1))
    def replace_vm(self, reader: int) -> None:
        self.readers[reader] = self.build_reader()
        self.revisions[reader] = (-1, -1)

    @invariant()
    def readers_agree_and_never_revert(self) -> None:
        for number, reader in enumerate(self.readers):
            state = reader.state
            assert state == self.states[reader.next_offset]
            revisions = (state.revision, state.sheet_revision)
            assert revisions >= self.revisions[number]
            self.revisions[number] = revisions
            for key_hash, offset in self.withdrawn.items():
                gone = state.revision < offset or key_hash not in state.key_customers
                assert gone, "a withdrawn key is valid"

    @invariant()
    def each_race_has_one_winner(self) -> None:
        assert all(len(winners) == 1 for winners in self.winners.values())


TestFoldMachine = FoldMachine.TestCase
TestFoldMachine.__doc__ = (
    "Guards against readers that disagree, revert, or accept two racing sheets."
)
TestFoldMachine.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class TestKeys:
    """Guards against keys valid for the wrong customer or after withdrawal."""

    def test_key_finds_its_customer_until_it_is_withdrawn(self) -> None:
        key = create_key()
        given = (
            CustomerCreated("market", "ann", "n1"),
            KeyGiven("market", hash_key(key), "ann", "n2"),
        )
        assert find_customer(fold(*given), key) == "market"
        assert find_customer(fold(*given), key + "x") is None
        withdrawn = fold(*given, KeyWithdrawn(hash_key(key), "ann", "n3"))
        assert find_customer(withdrawn, key) is None

    def test_key_for_an_unknown_customer_has_no_effect(self) -> None:
        key = create_key()
        assert (
            find_customer(fold(KeyGiven("x", hash_key(key), "ann", "n")), key) is None
        )


class TestSheetParsing:
    """Guards against partially accepted sheets and findings without a location."""

    @pytest.mark.parametrize(
        ("rows", "places"),
        [
            (["customer,market,,,,,,,0,0,,,,,,"], ["row 2, column weight"]),
            (["customer,market,,,,,,,x,y,,,,,,"], ["row 2, column weight", PRIORITY]),
            (["customer,market,,,,,,,nan,,,,,,,"], ["row 2, column weight"]),
            (["customer,a b,,,,,,,1,,,,,,,"], ["row 2, column name"]),
            (["model,m,,a|b c,,,,,,,,,,,,"], ["row 2, column version", ADAPTERS]),
            (
                ["engine,e1,,,dc1,host:80,missing,sideways,,,maybe,no,,,,"],
                [
                    "row 2, column address",
                    "row 2, column role",
                    "row 2, column checks_fencing",
                    "row 2, column serves",
                ],
            ),
            (["route,,,,,,levy,,,,,,GET,/a,yes,no"], ["row 2, column serves"]),
            (
                ["model,a,1,,,,,,,,,,,,,", "", "model,a,2,,,,,,,,,,,,,"],
                ["row 4, column name"],
            ),
            (["nonsense,,,,,,,,,,,,,,,"], ["row 2, column kind"]),
            (["model,a,1"], ["row 2"]),
        ],
    )
    def test_every_error_is_reported_with_row_and_column(self, rows, places) -> None:
        _, findings = parse_sheet("\r\n".join([",".join(COLUMNS), *rows]))
        assert [finding.place for finding in findings] == places

    @pytest.mark.parametrize("text", ["", "kind,name", "a\x00b"])
    def test_text_without_the_columns_is_refused_at_row_1(self, text) -> None:
        sheet, findings = parse_sheet(text)
        assert [finding.place for finding in findings] == ["row 1"]
        assert not any(sheet.values())

    def test_invalid_number_is_quoted_in_the_message(self) -> None:
        row = "customer,market,,,,,,,heavy,0,,,,,,"
        _, findings = parse_sheet(",".join(COLUMNS) + "\n" + row)
        assert findings[0].message == "'heavy' is not a number"

    def test_demo_sheet_with_byte_order_mark_is_valid(self) -> None:
        sheet, findings = parse_sheet("\ufeff" + DEMO_SHEET.read_text())
        assert findings == []
        assert [row["name"] for row in sheet["customers"]] == ["market-office"]
