"""Adapter between the dispatcher and the entry resources."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw.dispatch import Dispatcher
from wisteriagw.fairness import Refusal
from wisteriagw.roles import DemandMeter
from wisteriagw.routing import WEIGHT_LOAD_SECONDS, LoadTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.membership import BackendDeparture
    from wisteriagw.routing import RouteRequest, RoutingDecision

FIRST_TOKEN_TARGET_SECONDS = 1.6
# A prompt whose prefill alone takes longer than the target is still served: only its
# time in the queue is limited. This is the slowest prefill rate that is assumed.
SLOWEST_PREFILL_TOKENS_PER_SECOND = 5000.0
# The first request for an adapter waits until the adapter is loaded.
LOAD_ALLOWANCE_SECONDS = 2 * WEIGHT_LOAD_SECONDS
DISPATCH_INTERVAL_SECONDS = 0.05


class DispatchAdapter:
    """Places callers' requests, and reports their progress to the dispatcher.

    Parameters
    ----------
    context : EntryContext
        Configuration, backend servers and clock.
    call_later : callable
        The reactor's ``callLater``.
    """

    def __init__(self, context: EntryContext, call_later: Callable[..., Any]) -> None:
        self._context = context
        self._call_later = call_later
        table = LoadTable({})
        self.dispatcher = Dispatcher(table, {}, secrets.randbelow)
        self.demand = DemandMeter(context.clock())
        self._waiting: dict[str, Deferred[RoutingDecision | Refusal]] = {}
        self._revision: int | None = None
        self._departures: dict[str, BackendDeparture] = {}
        self._dispatch_scheduled = False

    def place(
        self, request: Request, handle: str, route_request: RouteRequest
    ) -> Deferred[RoutingDecision | Refusal]:
        """Return the deferred decision, which fires on dispatch or refusal.

        Parameters
        ----------
        request : Request
            Request of the caller; its end also ends the attempt at the dispatcher.
        handle : str
            Identity of the attempt.
        route_request : RouteRequest
            Properties of the request that routing uses.
        """
        self._refresh()
        now = self._context.clock()
        prefill = route_request.prompt_tokens / SLOWEST_PREFILL_TOKENS_PER_SECOND
        deadline = now + FIRST_TOKEN_TARGET_SECONDS + prefill
        if route_request.adapter:
            deadline += LOAD_ALLOWANCE_SECONDS
        result: Deferred[RoutingDecision | Refusal] = Deferred()
        self._waiting[handle] = result
        request.notifyFinish().addBoth(self._handle_request_end, handle)
        refusal = self.dispatcher.submit(handle, route_request, deadline, now)
        if refusal is not None:
            self._resolve(handle, refusal)
            return result
        self._dispatch_queued()
        return result

    def record_first_token(self, handle: str) -> None:
        """Record the end of the prefill of an attempt."""
        self.dispatcher.record_first_token(handle, self._context.clock())

    def record_end(self, handle: str, generated_tokens: int) -> None:
        """Record the end of an attempt, which frees its capacity."""
        self.dispatcher.record_end(handle, generated_tokens, self._context.clock())
        if self._waiting:
            self._dispatch_queued()

    def sample_demand(self) -> None:
        """Update the rates of the demand; called once a second."""
        self.demand.sample(self.dispatcher.pop_demands(), self._context.clock())

    def _refresh(self) -> None:
        config = self._context.config
        # The departure of a backend server must not wait for a new revision.
        departures = self._context.membership.departures
        if config.revision == self._revision and departures == self._departures:
            return
        self._revision, self._departures = config.revision, dict(departures)
        self.dispatcher.table.set_servers(self._context.list_views())
        rows = config.sheet["customers"]
        self.dispatcher.set_weights({row["name"]: row["weight"] for row in rows})

    def _dispatch_queued(self) -> None:
        for result in self.dispatcher.dispatch_queued(self._context.clock()):
            outcome = result if isinstance(result, Refusal) else result.decision
            self._resolve(result.handle, outcome)
        if self._waiting and not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            self._call_later(DISPATCH_INTERVAL_SECONDS, self._run_scheduled_dispatch)

    def _run_scheduled_dispatch(self) -> None:
        self._dispatch_scheduled = False
        self._refresh()
        self._dispatch_queued()

    def _resolve(self, handle: str, outcome: RoutingDecision | Refusal) -> None:
        result = self._waiting.pop(handle, None)
        if result is None:
            # The caller disconnected: nothing was sent, so no work remains counted.
            self.dispatcher.record_end(handle, 0, self._context.clock())
            return
        result.callback(outcome)

    def _handle_request_end(self, _: Any, handle: str) -> None:
        if handle in self._waiting:
            message = "the caller disconnected before the request was sent"
            self._resolve(handle, Refusal(handle, "deadline", message))
        self.record_end(handle, 0)
