"""Decoding of the notices that backend servers give in their responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from wisteriagw.eras import FOREVER
from wisteriagw.notices import Departure, Pause, RateLimit
from wisteriagw.platform._responses import REQUEST_ID

if TYPE_CHECKING:
    from wisteriagw.connections import ResponseHead
    from wisteriagw.fleet import BackendServer

SERVER_LEAVING = b"server-leaving"
LEAVING = b"1"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"
DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")
UNAVAILABLE = 503


def decode_notices(
    head: ResponseHead, request_id: bytes, server: BackendServer
) -> list[Any]:
    """Return the notices that a server gives in a response to a request.

    One without the request's id gives none: it may be a repeated response of an earlier
    process.
    """
    notices: list[Any] = []
    if head.find_header(REQUEST_ID) != request_id:
        return notices
    if head.find_header(SERVER_LEAVING) == LEAVING:
        notices.append(Departure(server.name, server.born, FOREVER))
    if head.status == UNAVAILABLE:
        seconds = parse_decimal(head.find_header(RETRY_AFTER))
        if seconds:
            notices.append(Pause(server.name, server.born, seconds))
    limit = head.find_header(SERVER_LIMIT)
    rate = float("inf") if limit is None else parse_decimal(limit)
    if rate is not None:
        notices.append(RateLimit(server.name, server.born, rate))
    return notices


def parse_decimal(value: bytes | None) -> float | None:
    """Return a number that is not negative, or None if the value is none.

    A number beyond the range of floats is infinite.
    """
    if value is None or DECIMAL.fullmatch(value.strip()) is None:
        return None
    return float(value)
