"""Route of plain service calls."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._authentication import authenticate
from wisteriagw.entry._dispatch_adapter import get_refusal_status
from wisteriagw.fairness import Refusal
from wisteriagw.http import write_error
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.routing import RouteRequest

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.config import RouteRow
    from wisteriagw.entry._entry_context import EntryContext

HANDLE_BYTES = 8
SERVICE_TIMEOUT_SECONDS = 30.0


class ServiceResource(Resource):
    """Serves ``/v1/services/{service}/{path}``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render(self, request: Request) -> Any:
        """Pass a call on to the service."""
        parts = request.path.decode("latin-1").split("/", 4)
        service = parts[3] if len(parts) > 3 else ""
        path = "/" + (parts[4] if len(parts) > 4 else "")
        method = request.method.decode("ascii")
        route = self._context.find_route(service, method, path)
        if route is None:
            message = f"no route {method} {path} of service {service!r}"
            write_error(request, 404, "unknown_service", message, not_run=True)
            return NOT_DONE_YET
        customer = authenticate(request, self._context.config)
        if customer is None and not route["open"]:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        self._call(request, route, customer or "", path)
        return NOT_DONE_YET

    @inlineCallbacks
    def _call(
        self, request: Request, route: RouteRow, customer: str, path: str
    ) -> Generator[Deferred[Any], Any, None]:
        context = self._context
        route_request = RouteRequest(
            customer, route["service"], repeatable=route["idempotent"]
        )
        handle = secrets.token_hex(HANDLE_BYTES)
        decision = yield context.dispatch.place(request, handle, route_request)
        if isinstance(decision, Refusal):
            status = get_refusal_status(decision)
            write_error(request, status, decision.code, decision.message, not_run=True)
            return
        request.content.seek(0)
        headers = {
            "content-type": request.getHeader("content-type") or "",
            "wisteriagw-customer": customer,
        }
        outcome = yield context.client.send(
            context.get_address(decision.chosen),
            route["method"],
            path,
            body=request.content.read(),
            headers=headers,
            timeout=SERVICE_TIMEOUT_SECONDS,
        )
        if isinstance(outcome, Done):
            request.setResponseCode(outcome.status)
            request.setHeader(b"content-type", outcome.content_type.encode("latin-1"))
            request.write(outcome.body)
            request.finish()
            return
        not_run = not isinstance(outcome, MayHaveRun)
        code = "no_backend_server" if not_run else "may_have_run"
        write_error(request, 502, code, str(outcome), not_run=not_run)
