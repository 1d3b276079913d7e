"""Durations of one attempt, as samples of its server's speed and its service's rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement import expect_answer, expect_first_event, expect_prefill
from wisteriagw.speeds import SpeedSample

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._server_access import ServerAccess

# Queue and prompt of prefills and first events are accounted for, so they count as if
# they had half the spread of plain answers. The length of streams is not known, and
# callers may read them slowly, so they count as if they had twice that spread.
PREFILL_WEIGHT = 4.0
FIRST_EVENT_WEIGHT = 4.0
ANSWER_WEIGHT = 1.0
STREAM_WEIGHT = 0.25
MIN_ERROR_STATUS = 300


class AttemptTiming:
    """Records what an attempt's caller waited for, against what was expected."""

    def __init__(self, access: ServerAccess) -> None:
        self._access = access
        self._server: BackendServer | None = None
        self._started_at = 0.0
        self._tokens = 0.0
        self._expected = 0.0

    def start(self, server: BackendServer, tokens: float) -> None:
        """Start to measure an attempt, before it counts among the server's work.

        Parameters
        ----------
        tokens : float
            Tokens to prefill, queued ones included, scaled to the prefill stage.
        """
        access = self._access
        self._server = server
        self._tokens = tokens
        self._started_at = access.context.reactor.seconds()
        view = access.view_server(server)
        self._expected = expect_answer(view)
        if access.caller.prompt is not None:
            rates = access.context.rates.get(access.service.name)
            self._expected = expect_first_event(rates, tokens, view)

    def record_prefill(self) -> None:
        """Record that an engine has finished a prefill call."""
        context, service = self._access.context, self._access.service.name
        seconds = context.reactor.seconds() - self._started_at
        expected = expect_prefill(context.rates.get(service), self._tokens)
        self._record_speed("prefill", expected, seconds, PREFILL_WEIGHT)
        self._record_rate(seconds)

    def record_first_event(self) -> None:
        """Record the first event of a stream."""
        seconds = self._access.context.reactor.seconds() - self._started_at
        kind = f"first event:{self._access.route.name}"
        self._record_speed(kind, self._expected, seconds, FIRST_EVENT_WEIGHT)
        if self._access.caller.prompt is not None:
            self._record_rate(seconds)

    def record_head(self, status: int) -> None:
        """Record the head of a plain answer, which its server sends when it is done."""
        if self._access.caller.prompt is not None or status >= MIN_ERROR_STATUS:
            return
        seconds = self._access.context.reactor.seconds() - self._started_at
        kind = f"answer:{self._access.route.name}"
        self._record_speed(kind, self._expected, seconds, ANSWER_WEIGHT)

    def record_stream(self, seconds: float) -> None:
        """Record that a stream ended some seconds after its first event."""
        context, service = self._access.context, self._access.service.name
        # A resumed stream is shorter by what came before.
        if self._access.caller.last_event is None:
            kind = f"stream:{self._access.route.name}"
            self._record_speed(kind, 1.0, seconds, STREAM_WEIGHT)
        speed = context.speeds.get_speed(self._server)
        context.rates.add_stream(service, seconds * speed)

    def _record_rate(self, seconds: float) -> None:
        context, service = self._access.context, self._access.service.name
        speed = context.speeds.get_speed(self._server)
        context.rates.add_sample(service, self._tokens, seconds * speed)

    def _record_speed(
        self, kind: str, expected: float, seconds: float, weight: float
    ) -> None:
        context = self._access.context
        # A pause since the start is not the server's speed.
        if context.notices.table.find_pause(self._server, self._started_at):
            return
        sample = SpeedSample(self._server, kind, expected, seconds, weight)
        context.speeds.record(sample, context.reactor.seconds())
