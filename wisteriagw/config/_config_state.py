"""Configuration state derived from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.config._sheet import Sheet


class ConfigState(NamedTuple):
    """Configuration after the records up to one offset of its stream.

    Attributes
    ----------
    revision : int
        Offset of the last applied record, -1 before the first.
    sheet_revision : int
        Offset of the sheet in force, -1 if there is none.
    sheet : Sheet
        The sheet in force.
    customers : frozenset of str
        Customers that operators created.
    key_customers : dict of bytes to str
        Customer of each valid key, by the SHA-256 of the key.
    draining : frozenset of str
        Backend servers that must not be given new work.
    sheet_operator : str
        Operator who published the sheet in force.
    void_keys : frozenset of bytes
        Keys that were withdrawn before their ``KeyGiven`` was read. An append whose
        reply was lost can take effect after the withdrawal.
    """

    revision: int
    sheet_revision: int
    sheet: Sheet
    customers: frozenset[str]
    key_customers: dict[bytes, str]
    draining: frozenset[str]
    sheet_operator: str = ""
    void_keys: frozenset[bytes] = frozenset()
