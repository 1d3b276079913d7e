"""Authentication of the customer of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config import find_customer, hash_key
from wisteriagw.entry._caller import Caller
from wisteriagw.entry._request_trace import get_trace

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.config import ConfigState

BEARER_PREFIX = "Bearer "


def read_bearer_token(request: Request) -> str:
    """Return the token in the authorization header, or an empty string."""
    header = request.getHeader("authorization") or ""
    if not header.startswith(BEARER_PREFIX):
        return ""
    return header.removeprefix(BEARER_PREFIX).strip()


def authenticate(request: Request, config: ConfigState) -> Caller | None:
    """Return the customer of the request's key, or None without a valid key."""
    key = read_bearer_token(request)
    customer = find_customer(config, key)
    if customer is None:
        return None
    get_trace(request).customer = customer
    return Caller(customer, hash_key(key))
