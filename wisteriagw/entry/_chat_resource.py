"""Route of model calls."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.backends import StreamPosition
from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._chat_request import parse_chat_request
from wisteriagw.entry._generation_opening import connect_stream
from wisteriagw.entry._stream_sink import StreamSink
from wisteriagw.entry._whole_sink import WholeSink
from wisteriagw.http import read_json_object, write_error
from wisteriagw.routing import RouteRequest, choose_backend_server, estimate_tokens

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import GenerateRequest
    from wisteriagw.entry._chat_request import ChatRequest
    from wisteriagw.entry._entry_context import EntryContext

REQUEST_ID_BYTES = 16
ATTEMPT_ID_BYTES = 4


class ChatResource(Resource):
    """Serves ``POST /v1/chat/completions``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_POST(self, request: Request) -> Any:
        """Generate an answer to a prompt."""
        caller = authenticate(request, self._context.config)
        if caller is None:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        if request.body_too_large:
            message = "the body is too large"
            write_error(request, 413, "body_too_large", message, not_run=True)
            return NOT_DONE_YET
        try:
            chat = parse_chat_request(read_json_object(request))
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        self._context.callers.add(caller.key_hash, request)
        self._generate(request, caller.customer, chat)
        return NOT_DONE_YET

    def _generate(self, request: Request, customer: str, chat: ChatRequest) -> None:
        context = self._context
        route_request = RouteRequest(
            customer, chat.model, estimate_tokens(chat.prompt), chat.max_tokens
        )
        decision = choose_backend_server(
            route_request, context.list_views(), context.clock()
        )
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        context.explain(request_id, customer, route_request, decision)
        if decision.chosen is None:
            message = f"no backend server for model {chat.model!r}"
            write_error(request, 503, "no_backend_server", message, not_run=True)
            return
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES)
        body: GenerateRequest = {
            "request_id": request_id,
            "attempt": attempt,
            "customer": customer,
            "model": chat.model,
            "adapter": chat.adapter,
            "prompt": chat.prompt,
            "max_tokens": chat.max_tokens,
            "priority": 0,
        }
        address = context.get_address(decision.chosen)
        opened = context.client.open(
            address, "POST", "/generate", json.dumps(body).encode("utf-8")
        )
        sink_type = StreamSink if chat.stream else WholeSink
        sink = sink_type(request, request_id, chat.model)
        position = StreamPosition(attempt.encode("ascii"), 0)
        handle = f"{decision.chosen}.{request_id}"
        connect_stream(request, opened, sink, position, handle)
