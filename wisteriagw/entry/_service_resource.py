"""Route of plain service calls."""

from __future__ import annotations

import json
import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.calls import MAX_CLAIM_AGE_SECONDS, build_claim
from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._deadline import (
    DEADLINE_HEADER,
    SERVICE_DEADLINE_SECONDS,
    read_deadline,
)
from wisteriagw.entry._permit_check import refuse_without_permit
from wisteriagw.entry._request_trace import get_trace
from wisteriagw.entry._result_answers import write_result
from wisteriagw.entry._service_call import ServiceCall
from wisteriagw.entry._service_path import parse_service_path
from wisteriagw.http import write_error
from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.config import RouteRow
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.entry._service_path import ServicePath

logger = logging.getLogger(__name__)

MAX_IDEMPOTENCY_KEY_LENGTH = 256


class ServiceResource(Resource):
    """Serves ``/v1/services/{service}/{path}``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render(self, request: Request) -> Any:
        """Forward a call to the service."""
        if refuse_without_permit(request, self._context.membership, not_run=True):
            return NOT_DONE_YET
        now = self._context.clock()
        try:
            service_path = parse_service_path(request.uri)
            deadline = read_deadline(
                request.getHeader(DEADLINE_HEADER), now, SERVICE_DEADLINE_SECONDS
            )
            key = request.getHeader("idempotency-key")
            if key is not None and not 1 <= len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
                raise ValueError("idempotency-key is empty or too long")
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        method = request.method.decode("latin-1")
        route = self._context.find_route(
            service_path.service, method, service_path.path
        )
        if route is None:
            message = (
                f"no route {method} {service_path.path} "
                f"of service {service_path.service!r}"
            )
            write_error(request, 404, "unknown_service", message, not_run=True)
            return NOT_DONE_YET
        caller = authenticate(request, self._context.config)
        if caller is None and not route["open"]:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        if request.body_too_large:
            message = "the body is too large"
            write_error(request, 413, "body_too_large", message, not_run=True)
            return NOT_DONE_YET
        if caller is not None:
            self._context.requests_by_key.add(caller.key_hash, request)
        customer = caller.customer if caller else ""
        calling = self._call(request, route, customer, service_path, deadline)
        calling.addErrback(self._fail, request)
        return NOT_DONE_YET

    def _fail(self, failure: Any, request: Request) -> None:
        # Without a response the caller would wait until its own timeout.
        logger.error(
            "unhandled exception in a service call: %s", failure.getTraceback()
        )
        if not request.disconnected and not request.startedWriting:
            write_result(MayHaveRun("internal error"), request)

    @inlineCallbacks
    def _call(
        self,
        request: Request,
        route: RouteRow,
        customer: str,
        service_path: ServicePath,
        deadline: float,
    ) -> Generator[Deferred[Any], Any, None]:
        context = self._context
        request.content.seek(0)
        body = request.content.read()
        key = request.getHeader("idempotency-key")
        claimed = key is not None and not route["idempotent"]
        if claimed:
            deadline = min(deadline, context.clock() + MAX_CLAIM_AGE_SECONDS)
        content_type = request.getHeader("content-type") or ""
        call = ServiceCall(
            context,
            request,
            route,
            customer,
            service_path.target,
            body,
            content_type,
            deadline,
        )
        send = partial(
            context.usage.run_call, call.run, customer, idempotent=route["idempotent"]
        )
        if not claimed:
            result = yield send()
        else:
            identity = [
                service_path.service,
                route["method"],
                service_path.target,
                content_type,
            ]
            claim = build_claim(
                customer,
                key,
                json.dumps(identity).encode("utf-8") + body,
                context.settings["vm"],
            )
            result = yield context.call_executor.run(claim, send)
        get_trace(request).backend_server = call.backend_server
        if not request.disconnected:
            write_result(result, request)
