"""Endpoints for addresses, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.platform import (
    JSON_HEADERS,
    READY_PATH,
    RESOLVE_PATH,
    decode_caller_data_centre,
    encode_addresses,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import HttpRequest, Responder
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._metrics import GatewayMetrics

METRICS_PATH = b"/metrics"
MAX_ADDRESSES = 64


class DirectoryHandler:
    """Serves the addresses for callers, the readiness of this VM and its metrics.

    Parameters
    ----------
    own_address : str
        Address for callers of this VM.
    is_ready : callable
        Whether this VM takes requests.
    address_seconds : float
        Seconds for which callers may cache a response.
    """

    def __init__(
        self,
        own_address: str,
        members: Members,
        metrics: GatewayMetrics,
        is_ready: Callable[[], bool],
        clock: Callable[[], float],
        address_seconds: float,
    ) -> None:
        self._own_address = own_address
        self._members = members
        self._metrics = metrics
        self._is_ready = is_ready
        self._clock = clock
        self._address_seconds = address_seconds

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request."""
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            responder.reply(200 if self._is_ready() else 503)
            return
        if path == RESOLVE_PATH:
            self._resolve(request, responder)
            return
        if path == METRICS_PATH:
            headers = ((b"content-type", b"text/plain; version=0.0.4"),)
            responder.reply(200, headers, self._metrics.render())
            return
        responder.reply(404)

    def _resolve(self, request: HttpRequest, responder: Responder) -> None:
        data_centre = decode_caller_data_centre(request.target)
        members = self._members.list_ready(self._clock())
        members.sort(key=lambda member: (member.data_centre != data_centre, member.vm))
        addresses = [member.front for member in members]
        if self._is_ready():
            addresses.insert(0, self._own_address)
        if not addresses:
            responder.reply(503)
            return
        body = encode_addresses(addresses[:MAX_ADDRESSES], self._address_seconds)
        responder.reply(200, JSON_HEADERS, body)
