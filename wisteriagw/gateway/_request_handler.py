"""Requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._customer_quotas import CustomerQuotas
from wisteriagw.gateway._request_exchange import RequestExchange
from wisteriagw.gateway._request_times import find_timeout
from wisteriagw.platform import decode_caller_request, encode_refusal
from wisteriagw.routes import Denied, can_end_before_exit, decide_admission

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._quota_charge import QuotaCharge
    from wisteriagw.routes import Stop

BAD_REQUEST = Denied(400, "invalid_request", "the request has no id or a bad value")
STOPPING = Denied(503, "stopping", "the process exits before the request could end")
OVER_QUOTA = Denied(429, "quota_exceeded", "the customer's quota is used up")
# Callers denied before they are identified retry on another connection.
RETRY_AFTER_SECONDS = 0.2
RETRY_STATUSES = (429, 503)


class RequestHandler:
    """Decides on the admission of each request and serves those admitted.

    Attributes
    ----------
    stop : Stop or None
        Planned stop of the process, once it has begun.
    quotas : CustomerQuotas
        Quotas of the customers.
    """

    def __init__(self, context: GatewayContext) -> None:
        self.stop: Stop | None = None
        self.quotas = CustomerQuotas(context)
        self._context = context
        self._open: set[RequestExchange] = set()

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
        timeout = find_timeout(decision.route, caller)
        if self.stop and not can_end_before_exit(self.stop, timeout, now):
            # Another VM can serve the request now.
            self._deny(STOPPING, caller.request_id, responder, 0.0)
            return
        charge = self.quotas.charge(decision.customer, caller)
        if not charge.admitted:
            self._deny(OVER_QUOTA, caller.request_id, responder, charge.retry_after)
            return
        context.budgets.count_request(decision.service.name, now)
        exchange = RequestExchange(context, request, caller, decision, responder)
        self._open.add(exchange)
        exchange.start().addBoth(lambda _: self._close(exchange, charge))

    def end_requests(self) -> None:
        """Answer the requests that are still open, because the process exits."""
        for exchange in list(self._open):
            exchange.end()

    def _close(self, exchange: RequestExchange, charge: QuotaCharge) -> None:
        self._open.discard(exchange)
        if exchange.not_run:
            self.quotas.refund(charge)

    def _deny(
        self,
        denied: Denied,
        request_id: str,
        responder: Responder,
        retry_after: float = RETRY_AFTER_SECONDS,
    ) -> None:
        context = self._context
        headers, body = encode_refusal(
            denied.code,
            denied.message,
            request_id,
            retry_after if denied.status in RETRY_STATUSES else None,
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
