"""Finding the customer whose key came with a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config import find_customer

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.config import ConfigState

BEARER_PREFIX = "Bearer "


def authenticate(request: Request, config: ConfigState) -> str | None:
    """Return the customer of the request's key, or None without a valid key."""
    header = request.getHeader("authorization") or ""
    if not header.startswith(BEARER_PREFIX):
        return None
    return find_customer(config, header.removeprefix(BEARER_PREFIX).strip())
