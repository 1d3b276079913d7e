"""Signs that backend servers are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._backend_sign import BackendSign

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

MAX_SIGNS = 2048
# A new sign goes out with each heartbeat of this time; older ones take turns, so that
# many servers that left do not fill every heartbeat.
NEW_SIGN_SECONDS = 4.0
OLD_SIGNS_PER_HEARTBEAT = 4


def merge_signs(
    signs: Mapping[str, BackendSign], heard: Iterable[tuple[str, int]], now: float
) -> dict[str, BackendSign]:
    """Return the signs with others that were heard.

    Merging takes the highest incarnation, so signs may arrive in any order and
    repeatedly, and no merge takes one back.
    """
    merged = dict(signs)
    for backend_server, incarnation in heard:
        known = merged.get(backend_server)
        if known is None and len(merged) >= MAX_SIGNS:
            continue
        if known is None or incarnation > known.incarnation:
            merged[backend_server] = BackendSign(incarnation, now)
    return merged


def forget_signs(
    signs: Mapping[str, BackendSign], backend_servers: Collection[str], now: float
) -> dict[str, BackendSign]:
    """Return the signs without old ones of servers that are not on the sheet."""
    return {
        name: sign
        for name, sign in signs.items()
        if name in backend_servers or now - sign.learned_at < NEW_SIGN_SECONDS
    }


def select_signs(
    signs: Mapping[str, BackendSign], turn: int, now: float
) -> tuple[tuple[str, int], ...]:
    """Return the signs for the heartbeat with a number."""
    new, old = [], []
    for name, sign in signs.items():
        if now - sign.learned_at < NEW_SIGN_SECONDS:
            new.append((name, sign.incarnation))
        else:
            old.append((name, sign.incarnation))
    start = turn * OLD_SIGNS_PER_HEARTBEAT % max(len(old), 1)
    return (*new, *old[start : start + OLD_SIGNS_PER_HEARTBEAT])


def is_backend_leaving(
    signs: Mapping[str, BackendSign], backend_server: str, incarnation: int = 0
) -> bool:
    """Return whether a backend server is leaving in an incarnation or a later one."""
    sign = signs.get(backend_server)
    return sign is not None and sign.incarnation >= incarnation
