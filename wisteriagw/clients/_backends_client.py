"""Client of the platform's backend server interface."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients._backends_unavailable import BackendsUnavailableError
from wisteriagw.jsondata import load_json
from wisteriagw.orders import ListedOrder, encode_order
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.http import HttpClient
    from wisteriagw.orders import GiveBack, OrderBackendServer
    from wisteriagw.outcomes import Outcome

BACKENDS_TIMEOUT_SECONDS = 3.0


class BackendsClient:
    """Client of the backend server interface over HTTP."""

    def __init__(self, client: HttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address

    def send_order(
        self,
        order: OrderBackendServer | GiveBack,
        order_id: str,
        fencing_number: int,
    ) -> Deferred[Outcome]:
        """Send an order; the result is its outcome and never a failure."""
        fields = {
            **encode_order(order),
            "order_id": order_id,
            "fencing_number": fencing_number,
        }
        return self._send("POST", "/orders", json.dumps(fields).encode("utf-8"))

    @inlineCallbacks
    def list_orders(self) -> Generator[Deferred[Any], Any, tuple[ListedOrder, ...]]:
        """Return the orders that have taken effect."""
        outcome = yield self._send("GET", "/orders")
        rows = _decode_reply(outcome)
        try:
            return tuple(ListedOrder(**fields) for fields in rows)
        except TypeError as error:
            raise BackendsUnavailableError(
                f"invalid list of orders: {error}"
            ) from error

    @inlineCallbacks
    def list_prices(self) -> Generator[Deferred[Any], Any, dict[str, Any]]:
        """Return the hourly price by kind, without kinds that are not available."""
        outcome = yield self._send("GET", "/prices")
        return _decode_reply(outcome)

    def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Deferred[Outcome]:
        return self._client.send(
            self._address, method, path, body, timeout=BACKENDS_TIMEOUT_SECONDS
        )


def _decode_reply(outcome: Outcome) -> Any:
    if not isinstance(outcome, Done) or outcome.status != 200:
        raise BackendsUnavailableError(str(outcome))
    try:
        return load_json(outcome.body)
    except ValueError as error:
        raise BackendsUnavailableError(f"the reply is not JSON: {error}") from error
