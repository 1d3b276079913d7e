"""Requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._request_exchange import RequestExchange
from wisteriagw.platform import decode_caller_request, encode_refusal
from wisteriagw.routes import Denied, decide_admission

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder
    from wisteriagw.gateway._context import GatewayContext

BAD_REQUEST = Denied(400, "invalid_request", "the request has no id or a bad value")
# Callers denied before they are identified retry on another connection.
RETRY_AFTER_SECONDS = 0.2


class RequestHandler:
    """Decides on the admission of each request and serves those admitted."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Serve or deny a request."""
        context = self._context
        caller = decode_caller_request(request)
        if caller is None:
            self._deny(BAD_REQUEST, "", responder)
            return
        decision = decide_admission(
            context.configuration.table,
            context.configuration.is_fresh(),
            caller.host,
            caller.path,
            caller.key,
            context.draw(),
        )
        if isinstance(decision, Denied):
            self._deny(decision, caller.request_id, responder)
            return
        now = context.reactor.seconds()
        context.budgets.count_request(decision.service.name, now)
        RequestExchange(context, request, caller, decision, responder).start()

    def _deny(self, denied: Denied, request_id: str, responder: Responder) -> None:
        context = self._context
        retry_after = RETRY_AFTER_SECONDS if denied.status == 503 else None
        headers, body = encode_refusal(
            denied.code, denied.message, request_id, retry_after
        )
        responder.reply(denied.status, headers, body)
        context.metrics.requests.labels("denied", denied.code).inc()
        table = context.configuration.table
        context.log.write(
            "denied",
            request_id=request_id,
            code=denied.code,
            status=denied.status,
            config_version=table.version if table is not None else None,
            config_age=round(min(context.configuration.get_age(), 1e6), 3),
        )
