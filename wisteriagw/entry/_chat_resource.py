"""Route of chat completions."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._buffered_sink import BufferedSink
from wisteriagw.entry._chat_request import parse_chat_request
from wisteriagw.entry._deadline import (
    CHAT_DEADLINE_SECONDS,
    DEADLINE_HEADER,
    read_deadline,
)
from wisteriagw.entry._generation_plan import GenerationPlan
from wisteriagw.entry._generation_relay import GenerationRelay
from wisteriagw.entry._permit_check import refuse_without_permit
from wisteriagw.entry._stream_sink import StreamSink
from wisteriagw.http import read_json_object, write_error

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.config import ConfigState
    from wisteriagw.entry._chat_request import ChatRequest
    from wisteriagw.entry._entry_context import EntryContext

REQUEST_ID_BYTES = 16


class ChatResource(Resource):
    """Serves ``POST /v1/chat/completions``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_POST(self, request: Request) -> Any:
        """Generate a completion for a prompt."""
        context = self._context
        if refuse_without_permit(request, context.membership, not_run=True):
            return NOT_DONE_YET
        caller = authenticate(request, context.config)
        if caller is None:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        if request.body_too_large:
            message = "the body is too large"
            write_error(request, 413, "body_too_large", message, not_run=True)
            return NOT_DONE_YET
        try:
            chat = parse_chat_request(read_json_object(request))
            deadline = read_deadline(
                request.getHeader(DEADLINE_HEADER),
                context.clock(),
                CHAT_DEADLINE_SECONDS,
            )
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        if not has_model(context.config, chat):
            message = f"no model {chat.model!r} with adapter {chat.adapter!r}"
            write_error(request, 404, "unknown_model", message, not_run=True)
            return NOT_DONE_YET
        context.requests_by_key.add(caller.key_hash, request)
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        if chat.stream:
            context.open_streams.add(request)
        sink_type = StreamSink if chat.stream else BufferedSink
        sink = sink_type(request, request_id, chat.model)
        plan = GenerationPlan(request_id, caller.customer, chat, deadline)
        context.retries.count_request()
        GenerationRelay(context, request, sink, plan).start()
        return NOT_DONE_YET

    def render(self, request: Request) -> Any:
        """Answer other methods with an error in the usual form."""
        if request.method == b"POST":
            return self.render_POST(request)
        write_error(request, 405, "invalid_request", "use POST", not_run=True)
        return NOT_DONE_YET


def has_model(config: ConfigState, chat: ChatRequest) -> bool:
    """Return whether the sheet has the model with the adapter."""
    for row in config.sheet["models"]:
        if row["name"] != chat.model:
            continue
        return not chat.adapter or chat.adapter in row["adapters"]
    return False
