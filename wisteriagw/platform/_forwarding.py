"""Encoding of requests forwarded to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.connections import HttpRequest

if TYPE_CHECKING:
    from wisteriagw.platform._forwarding_terms import ForwardingTerms

# Hop-by-hop headers, and headers that only this system may set.
DROPPED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"authorization",
        b"kv-fetch",
        b"x-wisteriagw-tenant",
        b"x-wisteriagw-deadline-ms",
        b"x-wisteriagw-expect-instance",
        b"x-wisteriagw-expect-version",
        b"x-wisteriagw-request-priority",
        b"x-wisteriagw-stage",
        b"x-wisteriagw-kv-source",
        b"x-wisteriagw-kv-fetch",
        b"x-wisteriagw-kv-hold",
        b"x-wisteriagw-kv-backup",
        b"x-wisteriagw-pin-ms",
    )
)
MIN_DEADLINE_MS = 1
LOWEST_PRIORITY = 9


def encode_forwarded(request: HttpRequest, terms: ForwardingTerms) -> HttpRequest:
    """Return a caller's request in the form sent to a backend server."""
    dropped = set(DROPPED_HEADERS)
    for name, value in request.headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    if terms.last_event is not None:
        dropped.add(b"last-event-id")
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    headers.append(
        (b"x-wisteriagw-expect-instance", terms.server.name.encode("latin-1"))
    )
    if terms.seconds_left is not None:
        left = max(MIN_DEADLINE_MS, int(terms.seconds_left * 1000))
        headers.append((b"x-wisteriagw-deadline-ms", b"%d" % left))
    if terms.customer is not None:
        headers.append((b"x-wisteriagw-tenant", terms.customer.encode("utf-8")))
    if terms.priority is not None:
        rank = min(LOWEST_PRIORITY, max(0, terms.priority))
        headers.append((b"x-wisteriagw-request-priority", b"%d" % rank))
    if terms.prefill_only:
        headers.append((b"x-wisteriagw-stage", b"prefill"))
    if terms.source is not None:
        (host, port), handle = terms.source
        source = f"{host}:{port}/{handle}".encode("latin-1")
        headers.append((b"x-wisteriagw-kv-source", source))
    if terms.fetch_from is not None:
        host, port = terms.fetch_from
        headers.append((b"kv-fetch", f"{host}:{port}".encode("latin-1")))
    if terms.backup is not None:
        host, port = terms.backup
        backup = f"{host}:{port}".encode("latin-1")
        headers.append((b"x-wisteriagw-kv-backup", backup))
    if terms.last_event is not None:
        headers.append((b"last-event-id", b"%d" % terms.last_event))
    return HttpRequest(request.method, request.target, tuple(headers), request.body)
