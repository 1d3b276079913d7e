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
from wisteriagw.entry._dispatch_adapter import get_refusal_status
from wisteriagw.entry._generation_opening import connect_stream
from wisteriagw.entry._stream_sink import StreamSink
from wisteriagw.entry._whole_sink import WholeSink
from wisteriagw.fairness import Refusal
from wisteriagw.http import read_json_object, write_error
from wisteriagw.routing import RouteRequest, estimate_tokens, hash_blocks

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.backends import GenerateRequest
    from wisteriagw.entry._chat_request import ChatRequest
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.routing import RoutingDecision

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
        customer = authenticate(request, self._context.config)
        if customer is None:
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
        self._generate(request, customer, chat)
        return NOT_DONE_YET

    def _generate(self, request: Request, customer: str, chat: ChatRequest) -> None:
        route_request = RouteRequest(
            customer,
            chat.model,
            estimate_tokens(chat.prompt),
            chat.max_tokens,
            blocks=hash_blocks(customer, chat.adapter, chat.prompt),
            adapter=chat.adapter,
        )
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        placed = self._context.dispatch.place(request, request_id, route_request)
        placed.addCallback(self._send, request, customer, chat, request_id)

    def _send(
        self,
        decision: RoutingDecision | Refusal,
        request: Request,
        customer: str,
        chat: ChatRequest,
        request_id: str,
    ) -> None:
        context = self._context
        if isinstance(decision, Refusal):
            status = get_refusal_status(decision)
            write_error(request, status, decision.code, decision.message, not_run=True)
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
        sink = context.dispatch.track(
            sink_type(request, request_id, chat.model), request_id
        )
        position = StreamPosition(attempt.encode("ascii"), 0)
        handle = f"{decision.chosen}.{request_id}"
        connect_stream(request, opened, sink, position, handle)
