"""Server time and log lines of one hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.gateway._hedge_side import HedgeSide
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.hedging import Quantiles


class HedgeAccount:
    """Counts a second attempt against the limits of the VM, and logs its outcome.

    Parameters
    ----------
    first, second : HedgeSide
        The two attempts.
    race_seconds : float
        Seconds for which both may run.
    quantiles : Quantiles
        Of the service's recent responses.
    """

    def __init__(
        self,
        access: ServerAccess,
        first: HedgeSide,
        second: HedgeSide,
        race_seconds: float,
        quantiles: Quantiles,
    ) -> None:
        self._access = access
        self._first = first
        self._second = second
        self._quantiles = quantiles
        self._sent = self._settled = self._finished = False
        self._extra_seconds = 0.0
        context, service = access.context, access.service.name
        self._reserved = second.started_at - first.started_at + race_seconds
        context.hedges.budget.reserve(self._reserved)
        context.budgets.consume(service, second.started_at)
        context.metrics.hedges_sent.labels(service).inc()

    def log_sent(self) -> None:
        """Log that the second attempt was sent."""
        if self._sent:
            return
        self._sent = True
        self._access.context.log.write(
            "hedge",
            request_id=self._access.caller.request_id,
            service=self._access.service.name,
            after=self._first.forwarder.server,
            server=self._second.forwarder.server,
            delay=round(self._second.started_at - self._first.started_at, 4),
            quantile=round(self._quantiles.late, 4),
        )

    def end_race(self, wasted: HedgeSide) -> None:
        """Count the time of the attempt that turns out to be superfluous.

        Once one attempt has failed, the other one is not extra work any more.
        """
        if self._settled:
            return
        self._settled = True
        context, service = self._access.context, self._access.service.name
        now = context.reactor.seconds()
        self._extra_seconds = now - wasted.started_at
        context.hedges.budget.settle(self._reserved, self._extra_seconds, now)
        context.metrics.hedge_seconds.labels(service).inc(self._extra_seconds)

    def finish(self, outcome: str, reason: str) -> None:
        """Log and count the outcome of the second attempt: won, lost or cancelled."""
        self.end_race(self._second)
        if self._finished:
            return
        self._finished = True
        self.log_sent()
        context, service = self._access.context, self._access.service.name
        context.metrics.hedge_results.labels(service, outcome).inc()
        context.log.write(
            "hedge_result",
            request_id=self._access.caller.request_id,
            service=service,
            server=self._second.forwarder.server,
            outcome=outcome,
            reason=reason,
            extra_seconds=round(self._extra_seconds, 4),
        )
