"""Tests of the configuration."""

from __future__ import annotations

from wisteriagw.config import (
    apply_record,
    build_empty_config,
    create_key,
    find_customer,
    hash_key,
    parse_sheet,
)
from wisteriagw.config._sheet_parsing import COLUMNS
from wisteriagw.records import (
    CustomerCreated,
    KeyGiven,
    KeyWithdrawn,
    SheetPublished,
)

EMPTY_SHEET = {"customers": [], "models": [], "backend_servers": [], "routes": []}


def fold(*records: object):
    """Return the configuration after some records at offsets 0, 1 and so on."""
    state = build_empty_config()
    for offset, record in enumerate(records):
        state = apply_record(record, state, offset)
    return state


class TestSheetRace:
    """Guards against two racing operators who both win."""

    def test_second_sheet_over_the_same_revision_changes_nothing(self) -> None:
        first = {**EMPTY_SHEET, "models": [{"name": "a", "version": "1"}]}
        second = {**EMPTY_SHEET, "models": [{"name": "b", "version": "1"}]}
        state = fold(
            SheetPublished(-1, first, "ann", "n1"),
            SheetPublished(-1, second, "bob", "n2"),
        )
        assert state.sheet == first
        assert state.sheet_revision == 0
        assert state.revision == 1

    def test_older_offset_never_reverts(self) -> None:
        state = fold(CustomerCreated("a", "ann", "n1"), CustomerCreated("b", "x", "n"))
        assert apply_record(CustomerCreated("c", "ann", "n3"), state, 0) == state


class TestKeys:
    """Guards against keys that work for the wrong customer or after withdrawal."""

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

    def test_key_for_an_unknown_customer_is_void(self) -> None:
        key = create_key()
        assert (
            find_customer(fold(KeyGiven("x", hash_key(key), "ann", "n")), key) is None
        )


class TestSheetParsing:
    """Guards against a sheet that is accepted in part or refused without a place."""

    def test_names_every_fault_with_row_and_column(self) -> None:
        text = "\n".join(
            [
                ",".join(COLUMNS),
                "customer,market,,,,,,,0,0,,,,,,",
                "engine,e1,,,dc1,host:80,missing,sideways,,,maybe,no,,,,",
                "nonsense,,,,,,,,,,,,,,,",
            ]
        )
        _, findings = parse_sheet(text)
        assert [finding.place for finding in findings] == [
            "row 2, column weight",
            "row 3, column address",
            "row 3, column role",
            "row 3, column checks_fencing",
            "row 4, column kind",
            "engine e1",
        ]
