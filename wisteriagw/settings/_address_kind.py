"""Kind of a setting: address."""

from __future__ import annotations

from typing import NamedTuple


class AddressKind(NamedTuple):
    """An IP address and a port, such as 127.0.0.1:8080."""
