"""HTTP interface of the backend server interface stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import task
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import read_json_object, write_error, write_json
from wisteriagw.standins._backends_fault import BackendsFault

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.standins._backends_store import BackendsStore


class BackendsResource(Resource):
    """Serves ``/orders`` and ``/prices``; tests post ``/faults`` and ``/reclaims``."""

    isLeaf = True

    def __init__(self, store: BackendsStore, reactor: Any) -> None:
        super().__init__()
        self._store = store
        self._reactor = reactor
        self._fault = BackendsFault()

    def render_GET(self, request: Request) -> Any:
        """Return the orders or the prices."""
        if self._fault.down:
            request.transport.abortConnection()
            return NOT_DONE_YET
        if request.path == b"/prices":
            available = self._fault.reclaimable_available
            prices = self._store.list_prices(reclaimable_available=available)
            write_json(request, 200, prices)
            return NOT_DONE_YET
        rows = [order._asdict() for order in self._store.list_orders()]
        write_json(request, 200, rows)
        return NOT_DONE_YET

    def render_POST(self, request: Request) -> Any:
        """Handle an order, set faults, or reclaim the servers of a data centre."""
        try:
            body = read_json_object(request)
            if request.path == b"/faults":
                self._fault = BackendsFault(**body)
                write_json(request, 200, self._fault._asdict())
            elif request.path == b"/reclaims":
                notice = float(body["notice_seconds"])
                count = self._store.reclaim(str(body["data_centre"]), notice)
                write_json(request, 200, {"reclaimed": count})
            else:
                self._handle_order(request, body)
        except (KeyError, TypeError, ValueError) as error:
            write_error(request, 400, "invalid_request", repr(error), not_run=True)
        return NOT_DONE_YET

    def _handle_order(self, request: Request, body: dict[str, Any]) -> None:
        if self._fault.down:
            request.transport.abortConnection()
            return
        if self._fault.delay_seconds <= 0:
            self._apply_order(request, body)
            return
        # The order takes effect even if the client has disconnected by then.
        disconnected: list[Any] = []
        request.notifyFinish().addErrback(disconnected.append)
        delayed = task.deferLater(self._reactor, self._fault.delay_seconds)
        delayed.addCallback(
            lambda _: self._apply_order(request, body, disconnected=disconnected)
        )

    def _apply_order(
        self, request: Request, body: dict[str, Any], disconnected: Any = ()
    ) -> None:
        if body.get("action") == "give_back":
            code = self._store.release(str(body["order_id"]))
        else:
            available = self._fault.reclaimable_available
            code = self._store.place_order(body, reclaimable_available=available)
        if disconnected:
            return
        if self._fault.lost_replies > 0:
            remaining = self._fault.lost_replies - 1
            self._fault = self._fault._replace(lost_replies=remaining)
            request.transport.abortConnection()
            return
        if code:
            write_error(request, 409, code, "the order is refused", not_run=True)
            return
        write_json(request, 200, {"order_id": body["order_id"]})
