"""Route row of a sheet, for a plain service."""

from __future__ import annotations

from typing import TypedDict


class RouteRow(TypedDict):
    """Calls to a plain service under one path prefix.

    Attributes
    ----------
    service, method, path : str
        Service, HTTP method and path prefix that the route matches.
    idempotent : bool
        Whether the call may be retried.
    open : bool
        Whether the call requires no key.
    """

    service: str
    method: str
    path: str
    idempotent: bool
    open: bool
