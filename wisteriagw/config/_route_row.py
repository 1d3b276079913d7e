"""Row of a sheet: route of a plain service."""

from __future__ import annotations

from typing import TypedDict


class RouteRow(TypedDict):
    """Calls of a plain service below one path prefix.

    Attributes
    ----------
    service, method, path : str
        What the route matches.
    idempotent : bool
        Whether the call may be repeated.
    open : bool
        Whether the call needs no key.
    """

    service: str
    method: str
    path: str
    idempotent: bool
    open: bool
