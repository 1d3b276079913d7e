"""Route that resumes a stream."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.backends import StreamPosition
from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._generation_opening import connect_stream
from wisteriagw.entry._stream_sink import StreamSink
from wisteriagw.http import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

ATTEMPT_ID_BYTES = 4


class RequestsResource(Resource):
    """Serves ``GET /v1/requests/{id}`` with ``Last-Event-ID``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Resume the stream after the last event that the caller has."""
        caller = authenticate(request, self._context.config)
        if caller is None:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        handle = request.path.rpartition(b"/")[2].decode("latin-1")
        backend_server, _, request_id = handle.rpartition(".")
        address = self._context.get_address(backend_server)
        last_event = request.getHeader("last-event-id") or "-1"
        if address is None or not last_event.removeprefix("-").isdecimal():
            message = "unknown request or Last-Event-ID"
            write_error(request, 404, "not_found", message, not_run=True)
            return NOT_DONE_YET
        self._context.callers.add(caller.key_hash, request)
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        start = int(last_event) + 1
        query = urlencode(
            {"customer": caller.customer, "attempt": attempt, "from": start}
        )
        path = f"/requests/{quote(request_id, safe='')}?{query}"
        opened = self._context.client.open(address, "GET", path)
        sink = StreamSink(request, request_id, "")
        position = StreamPosition(attempt.encode("ascii"), start)
        connect_stream(request, opened, sink, position, handle)
        return NOT_DONE_YET
