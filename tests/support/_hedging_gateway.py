"""Gateway that hedges, with response times and server time of earlier requests."""

from __future__ import annotations

import random

from tests.support._gateway_fixture import GatewayFixture
from wisteriagw.gateway._hedges import Hedges
from wisteriagw.gateway._request_handler import RequestHandler

WINDOW_SECONDS = 10.0
USUAL_SECONDS = 0.1
# Above the 0.95 quantile of the usual responses, whose buckets are within 20%.
LATE_SECONDS = 0.15


class HedgingGateway(GatewayFixture):
    """A gateway with three plain servers, and a limit of 20%."""

    def __init__(self, percent: float = 20.0, run_seconds: float = 100.0) -> None:
        super().__init__()
        self.add_server("desk-3", "desk", 3)
        self.hedges = Hedges(percent, WINDOW_SECONDS, self.sums)
        now = self.clock.seconds()
        for service, kind in (("desk", "call"), ("lm", "stream")):
            for _ in range(100):
                self.hedges.record_response(service, kind, USUAL_SECONDS, now)
        self.hedges.budget.count_run(run_seconds, now)
        self.lines: list[tuple[str, dict]] = []
        self.context.log.write = self._record
        self.draw = random.Random(5).random
        self.context = self.context._replace(hedges=self.hedges, draw=self.draw)
        self.handler = RequestHandler(self.context)

    def start_late(self, route: str = "safe", **arguments):
        """Send a request whose first attempt is late; return its responder."""
        responder = self.request(route, **arguments)
        self.clock.advance(LATE_SECONDS)
        return responder

    def find_server(self, index: int) -> str:
        """Return the server that got a sent request."""
        address = self.pool.sent[index].address
        return next(
            server.name
            for server in self.fleet.fleet.servers.values()
            if server.address == address
        )

    def list_results(self) -> list[tuple[str, str]]:
        """Return outcome and reason of the hedges that have ended."""
        return [
            (fields["outcome"], fields["reason"])
            for kind, fields in self.lines
            if kind == "hedge_result"
        ]

    def count_denied(self, reason: str) -> float:
        """Return the number of hedges that a limit has denied."""
        counter = self.context.metrics.hedges_denied.labels("desk", reason)
        return counter._value.get()

    def _record(self, decision: str, **fields) -> None:
        self.lines.append((decision, fields))
