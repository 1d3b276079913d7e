"""Marks the tests in KNOWN-RED.txt as expected failures and prints them."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from typing import Any

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red() -> list[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix(TEST_PREFIX) for line in lines if TEST_PREFIX in line]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark exactly the listed tests as expected to fail."""
    known = set(read_known_red())
    for item in items:
        if item.nodeid not in known:
            continue
        item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the listed tests."""
    for nodeid in read_known_red():
        terminalreporter.write_line(f"known red: {nodeid}")
