"""Rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their hash with a key.

    Removing a name moves only the keys that ranked it first, evenly to the other names.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )
