"""Signs that backend servers are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_SIGNS = 256


def merge_signs(
    signs: Mapping[str, int], heard: Iterable[tuple[str, int]]
) -> dict[str, int]:
    """Return the signs with those of another VM.

    A sign is the highest incarnation of a backend server that is known to be leaving.
    Merging takes the maximum, so signs may arrive in any order and repeatedly, and no
    merge takes a sign back; only a later incarnation of the server gets work again.
    """
    merged = dict(signs)
    for backend_server, incarnation in heard:
        if backend_server not in merged and len(merged) >= MAX_SIGNS:
            continue
        merged[backend_server] = max(incarnation, merged.get(backend_server, -1))
    return merged


def is_backend_leaving(
    signs: Mapping[str, int], backend_server: str, incarnation: int = 0
) -> bool:
    """Return whether a backend server is leaving in an incarnation or a later one."""
    return signs.get(backend_server, -1) >= incarnation
