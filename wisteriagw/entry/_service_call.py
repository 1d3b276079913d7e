"""Attempts at one plain service call."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.fairness import Refusal
from wisteriagw.outcomes import Done, MayHaveRun, RefusedNotRun
from wisteriagw.retries import Attempts, record_attempt
from wisteriagw.routing import RouteRequest

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.config import RouteRow
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.outcomes import Outcome
    from wisteriagw.routing import RoutingDecision

HANDLE_BYTES = 8


class ServiceCall:
    """Tries backend servers until one responds or the retry rules allow no retry.

    Parameters
    ----------
    context : EntryContext
        Clients and accounting of the process.
    request : Request
        Request of the caller.
    route : RouteRow
        Route of the call.
    customer, target : str
        Customer, and the path with its query.
    body : bytes
        Body of the call.
    content_type : str
        Type of the body.
    deadline : float
        Time at which the caller stops waiting.
    """

    def __init__(
        self,
        context: EntryContext,
        request: Request,
        route: RouteRow,
        customer: str,
        target: str,
        body: bytes,
        content_type: str,
        deadline: float,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._customer = customer
        self._target = target
        self._body = body
        self._headers = {
            "content-type": content_type,
            "wisteriagw-customer": customer,
        }
        self._deadline = deadline
        # The backend server of the last attempt.
        self.backend_server = ""

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, Outcome]:
        """Return the outcome of the whole call; never fails."""
        context, idempotent = self._context, self._route["idempotent"]
        context.retries.count_request()
        attempts = Attempts()
        outcome: Outcome | None = None
        while True:
            handle = secrets.token_hex(HANDLE_BYTES)
            decision = yield self._place(handle, attempts.excluded)
            if isinstance(decision, Refusal):
                refusal = RefusedNotRun(decision.code, decision.message)
                outcome = outcome or refusal
                break
            chosen = decision.chosen
            remaining = self._deadline - context.clock()
            if remaining <= 0:
                message = "the deadline passed before the call was sent"
                outcome = RefusedNotRun("deadline", message)
                break
            self.backend_server = chosen
            outcome = yield context.client.send(
                context.get_address(chosen),
                self._route["method"],
                self._target,
                body=self._body,
                headers=self._headers,
                timeout=remaining,
            )
            context.dispatch.record_end(handle, 0)
            if isinstance(outcome, Done):
                return outcome
            attempts = record_attempt(attempts, chosen, outcome)
            decision = context.retries.decide(outcome, idempotent, self._deadline)
            if not decision.retry or not attempts.may_go_on:
                break
        if attempts.may_have_run:
            return MayHaveRun(describe_outcome(outcome))
        return outcome

    def _place(
        self, handle: str, excluded: tuple[str, ...]
    ) -> Deferred[RoutingDecision | Refusal]:
        request = RouteRequest(
            self._customer,
            self._route["service"],
            repeatable=self._route["idempotent"],
            excluded=excluded,
        )
        placed = self._context.dispatch.place(self._request, handle, request)
        placed.addCallback(self._record_decision, handle, request)
        return placed

    def _record_decision(
        self, decision: RoutingDecision | Refusal, handle: str, request: RouteRequest
    ) -> RoutingDecision | Refusal:
        self._context.record_decision(handle, self._customer, request, decision)
        return decision


def describe_outcome(outcome: Any) -> str:
    """Return the reason of an outcome that is not ``Done``."""
    if isinstance(outcome, RefusedNotRun):
        return outcome.message
    return outcome.reason
