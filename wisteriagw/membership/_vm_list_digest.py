"""Digest of a VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.clients import VmEntry


def compute_vm_list_digest(entries: Iterable[VmEntry]) -> int:
    """Return a digest of the names and data centres on a list.

    Whether a VM is leaving is left out: a leaving VM still counts towards majorities.
    """
    lines = sorted(f"{entry.name}\0{entry.data_centre}" for entry in entries)
    return xxhash.xxh3_64_intdigest("\n".join(lines).encode())
