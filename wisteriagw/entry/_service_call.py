"""Attempts at one plain service call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.retries import Attempts, record_attempt
from wisteriagw.routing import RouteRequest, choose_backend_server

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.config import RouteRow
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.outcomes import Outcome


class ServiceCall:
    """Tries backend servers until one answers or the retry rules say stop.

    Parameters
    ----------
    context : EntryContext
        Clients and accounting of the process.
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
        route: RouteRow,
        customer: str,
        target: str,
        body: bytes,
        content_type: str,
        deadline: float,
    ) -> None:
        self._context = context
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
        """Give the outcome of the whole call; never fails."""
        context, idempotent = self._context, self._route["idempotent"]
        context.retries.count_request()
        attempts = Attempts()
        outcome: Outcome | None = None
        while True:
            chosen = self._choose(attempts.excluded)
            if chosen is None:
                break
            remaining = self._deadline - context.clock()
            if remaining <= 0:
                late = "the deadline passed before the call was sent"
                outcome = RefusedNotRun("deadline", late)
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
            if isinstance(outcome, Done):
                return outcome
            attempts = record_attempt(attempts, chosen, outcome)
            decision = context.retries.decide(outcome, idempotent, self._deadline)
            if not decision.retry:
                break
        if outcome is None:
            service = self._route["service"]
            outcome = FailedNotRun(f"no backend server for service {service!r}")
        if attempts.may_have_run:
            return MayHaveRun(describe_outcome(outcome))
        return outcome

    def _choose(self, excluded: tuple[str, ...]) -> str | None:
        context = self._context
        request = RouteRequest(
            self._customer,
            self._route["service"],
            repeatable=self._route["idempotent"],
            excluded=excluded,
        )
        views = context.list_views()
        return choose_backend_server(request, views, context.clock()).chosen


def describe_outcome(outcome: Any) -> str:
    """Return the reason in an outcome that is not an answer."""
    if isinstance(outcome, RefusedNotRun):
        return outcome.message
    return outcome.reason
