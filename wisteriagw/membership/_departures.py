"""Departures of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._backend_departure import BackendDeparture

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

MAX_DEPARTURES = 2048
# A new departure is sent in every heartbeat for this time; older ones are sent in
# rotation, so that many servers that left do not fill every heartbeat.
NEW_DEPARTURE_SECONDS = 4.0
OLD_DEPARTURES_PER_HEARTBEAT = 4


def merge_departures(
    departures: Mapping[str, BackendDeparture],
    received: Iterable[tuple[str, int]],
    now: float,
) -> dict[str, BackendDeparture]:
    """Return the departures merged with received ones.

    Merging takes the highest incarnation, so departures may arrive in any order and
    repeatedly, and a merge never removes one.
    """
    merged = dict(departures)
    for backend_server, incarnation in received:
        known = merged.get(backend_server)
        if known is None and len(merged) >= MAX_DEPARTURES:
            continue
        if known is None or incarnation > known.incarnation:
            merged[backend_server] = BackendDeparture(incarnation, now)
    return merged


def expire_departures(
    departures: Mapping[str, BackendDeparture],
    backend_servers: Collection[str],
    now: float,
) -> dict[str, BackendDeparture]:
    """Return the departures without old ones of servers not on the sheet."""
    return {
        name: departure
        for name, departure in departures.items()
        if name in backend_servers
        or now - departure.received_at < NEW_DEPARTURE_SECONDS
    }


def select_departures(
    departures: Mapping[str, BackendDeparture], turn: int, now: float
) -> tuple[tuple[str, int], ...]:
    """Return the departures for a heartbeat; older ones rotate with its number."""
    new, old = [], []
    for name, departure in departures.items():
        if now - departure.received_at < NEW_DEPARTURE_SECONDS:
            new.append((name, departure.incarnation))
        else:
            old.append((name, departure.incarnation))
    start = turn * OLD_DEPARTURES_PER_HEARTBEAT % max(len(old), 1)
    return (*new, *old[start : start + OLD_DEPARTURES_PER_HEARTBEAT])


def is_backend_leaving(
    departures: Mapping[str, BackendDeparture],
    backend_server: str,
    incarnation: int = 0,
) -> bool:
    """Return whether a backend server is leaving in an incarnation or a later one."""
    departure = departures.get(backend_server)
    return departure is not None and departure.incarnation >= incarnation
