"""Client for orders to engines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.jsondata import load_json
from wisteriagw.orders import EngineState, encode_order
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.http import HttpClient
    from wisteriagw.outcomes import Outcome

ENGINE_TIMEOUT_SECONDS = 2.0


class EnginesClient:
    """Sends orders to engines and reads their states."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def send_order(
        self, address: tuple[str, int], order: Any, order_id: str, fencing_number: int
    ) -> Deferred[Outcome]:
        """Send an order; the result is its outcome and never a failure."""
        fields = {
            **encode_order(order),
            "order_id": order_id,
            "fencing_number": fencing_number,
        }
        body = json.dumps(fields).encode("utf-8")
        return self._client.send(
            address, "POST", "/orders", body, timeout=ENGINE_TIMEOUT_SECONDS
        )

    @inlineCallbacks
    def read_state(
        self, address: tuple[str, int]
    ) -> Generator[Deferred[Any], Any, EngineState | None]:
        """Return the state of an engine, or None without a valid response."""
        outcome = yield self._client.send(
            address, "GET", "/state", timeout=ENGINE_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            return None
        try:
            state = EngineState(**load_json(outcome.body))
        except (TypeError, ValueError):
            return None
        return state._replace(adapters=tuple(state.adapters))
