"""HTTP interface for orders to the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.standins._engine_orders import EngineOrders


class EngineOrdersResource(Resource):
    """Serves ``POST /orders``, ``GET /state`` and, for tests, ``GET /conflicts``."""

    isLeaf = True

    def __init__(self, orders: EngineOrders) -> None:
        super().__init__()
        self._orders = orders

    def render_POST(self, request: Request) -> Any:
        """Accept an order; the reply is sent before the change ends."""
        try:
            code = self._orders.accept(read_json_object(request))
        except (KeyError, TypeError, ValueError) as error:
            write_error(request, 400, "invalid_request", repr(error), not_run=True)
            return NOT_DONE_YET
        if code:
            write_error(request, 409, code, "the order is refused", not_run=True)
            return NOT_DONE_YET
        write_json(request, 200, self._orders.describe())
        return NOT_DONE_YET

    def render_GET(self, request: Request) -> Any:
        """Return the state, or the number of conflicting orders."""
        if request.path == b"/conflicts":
            write_json(request, 200, {"conflicts": self._orders.conflicts})
            return NOT_DONE_YET
        write_json(request, 200, self._orders.describe())
        return NOT_DONE_YET
