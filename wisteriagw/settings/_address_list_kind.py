"""Kind of a setting: list of addresses."""

from __future__ import annotations

from typing import NamedTuple


class AddressListKind(NamedTuple):
    """IP addresses with ports, separated by commas."""
