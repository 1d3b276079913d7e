"""Checks of backend servers' responses and encoding of the system's own ones."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from wisteriagw.jsondata import load_json

if TYPE_CHECKING:
    from wisteriagw.connections import ResponseHead

REQUEST_ID = b"x-wisteriagw-request-id"
SERVER_STAMP = b"x-wisteriagw-server-stamp"
NOT_EXECUTED = b"x-wisteriagw-not-executed"
EVENT_STREAM = b"text/event-stream"
MISDIRECTED = 421
HANDLE = re.compile(r"[!-~]+")
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def belongs_to(head: ResponseHead, request_id: bytes) -> bool:
    """Return whether a response may belong to a request, by the request id if given."""
    found = head.find_header(REQUEST_ID)
    return found is None or found == request_id


def reports_not_run(head: ResponseHead, request_id: bytes) -> bool:
    """Return whether a response states that a request was not executed.

    One without the request's id proves nothing: it may be a repeated refusal of another
    request.
    """
    if head.find_header(REQUEST_ID) != request_id:
        return False
    return head.find_header(NOT_EXECUTED) is not None or head.status == MISDIRECTED


def is_genuine(head: ResponseHead, request_id: bytes) -> bool:
    """Return whether a backend server itself generated a response to a request."""
    if head.find_header(REQUEST_ID) != request_id:
        return False
    if head.find_header(b"content-encoding") is not None:
        return False
    return head.find_header(SERVER_STAMP) is not None


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response carries events, which a missing type permits."""
    content_type = head.find_header(b"content-type")
    return content_type is None or content_type.lower().startswith(EVENT_STREAM)


def filter_headers(head: ResponseHead) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a response that are forwarded to the caller."""
    return tuple(pair for pair in head.headers if pair[0] not in HOP_BY_HOP_HEADERS)


def encode_refusal(
    code: str, message: str, request_id: str, retry_after: float | None
) -> tuple[tuple[tuple[bytes, bytes], ...], bytes]:
    """Return headers and body of an error response by the system itself."""
    body = json.dumps({"error": {"code": code, "message": message}}).encode("utf-8")
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("ascii")))
    if retry_after is not None:
        headers.append((b"retry-after", f"{retry_after:.2f}".encode("ascii")))
    return tuple(headers), body


def decode_handle(body: bytes) -> str | None:
    """Return the handle of a prefilled KV cache, or None if the body has none."""
    try:
        handle = load_json(body)["kv_handle"]
    except (ValueError, KeyError, TypeError):
        return None
    # The handle becomes a part of a header and of a path.
    if not isinstance(handle, str) or not HANDLE.fullmatch(handle):
        return None
    return handle


def build_handle_target(handle: str) -> str:
    """Return the request target for freeing a KV cache."""
    return f"/kv-handle/{handle}"
