"""Route that resumes a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._deadline import (
    CHAT_DEADLINE_SECONDS,
    DEADLINE_HEADER,
    read_deadline,
)
from wisteriagw.entry._generation_plan import GenerationPlan
from wisteriagw.entry._generation_relay import GenerationRelay
from wisteriagw.entry._permit_check import refuse_without_permit
from wisteriagw.entry._request_trace import get_trace
from wisteriagw.entry._stream_sink import StreamSink
from wisteriagw.http import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

MAX_INDEX_DIGITS = 9


class RequestsResource(Resource):
    """Serves ``GET /v1/requests/{id}`` with ``Last-Event-ID``.

    A refusal to resume does not state ``not_run``: the generation may have run.
    """

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Resume the stream after the last event that the caller has."""
        context = self._context
        if refuse_without_permit(request, context.membership, not_run=False):
            return NOT_DONE_YET
        caller = authenticate(request, context.config)
        if caller is None:
            write_error(request, 401, "invalid_key", "no valid key", not_run=False)
            return NOT_DONE_YET
        try:
            start = read_start(request.getHeader("last-event-id"))
            deadline = read_deadline(
                request.getHeader(DEADLINE_HEADER),
                context.clock(),
                CHAT_DEADLINE_SECONDS,
            )
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=False)
            return NOT_DONE_YET
        handle = request.path.rpartition(b"/")[2].decode("latin-1")
        backend_server, _, request_id = handle.rpartition(".")
        if context.get_address(backend_server) is None or not request_id:
            write_error(request, 404, "not_found", "unknown request", not_run=False)
            return NOT_DONE_YET
        context.requests_by_key.add(caller.key_hash, request)
        context.open_streams.add(request)
        get_trace(request).first_index = start
        sink = StreamSink(request, request_id, "")
        plan = GenerationPlan(request_id, caller.customer, None, deadline)
        GenerationRelay(context, request, sink, plan).resume(backend_server, start)
        return NOT_DONE_YET


def read_start(last_event: str | None) -> int:
    """Return the first index that a caller has not received, or raise ValueError."""
    if last_event is None or last_event == "-1":
        return 0
    digits = last_event.isascii() and last_event.isdecimal()
    if not digits or len(last_event) > MAX_INDEX_DIGITS:
        raise ValueError("Last-Event-ID is not an index")
    return int(last_event) + 1
