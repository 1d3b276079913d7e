"""Log lines and metrics of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot
from twisted.internet.task import LoopingCall

from wisteriagw.entry._request_report import DONE, MAY_HAVE_RUN, NOT_RUN
from wisteriagw.telemetry import GAUGE_INTERVAL_SECONDS

if TYPE_CHECKING:
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.entry._request_report import RequestReport
    from wisteriagw.telemetry import LineWriter, Metrics


REQUEST_LINE = "wisteriagw:request"
OUTCOME_METRICS = {
    DONE: "requests.done",
    NOT_RUN: "requests.not_run",
    MAY_HAVE_RUN: "requests.may_have_run",
}


class TelemetryReporter:
    """Logs finished requests and sends the metrics of an entry process.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    metrics : Metrics
        Sender of metrics.
    writer : LineWriter
        Log writer whose dropped lines are reported.
    log_lines : bool
        Whether requests are logged; they are lines of level ``info``.
    """

    def __init__(
        self,
        context: EntryContext,
        metrics: Metrics,
        writer: LineWriter,
        *,
        log_lines: bool,
    ) -> None:
        self.site: Any = None
        self._context = context
        self._metrics = metrics
        self._writer = writer
        self._log_lines = log_lines
        self._sent: dict[str, int] = {}

    def start(self, site: Any) -> None:
        """Start to send the gauges of the process and of its site periodically."""
        self.site = site
        LoopingCall(self.send_gauges).start(GAUGE_INTERVAL_SECONDS, now=False)

    def report(self, report: RequestReport) -> None:
        """Log a finished request and count it."""
        if self._log_lines:
            eliot.log_message(REQUEST_LINE, **report._asdict())
        metric = OUTCOME_METRICS.get(report.outcome)
        if metric is not None:
            self._metrics.send(metric)
        if report.first_token_seconds is not None:
            self._metrics.send("requests.first_token", report.first_token_seconds * 1e3)
        if report.tokens:
            self._metrics.send("tokens.generated", report.tokens)

    def send_gauges(self) -> None:
        """Send the gauges, and the increase of counters since the last call."""
        context, metrics = self._context, self._metrics
        follower = context.config_follower
        metrics.send("requests.open", self.site.open_requests)
        metrics.send("config.revision", follower.state.revision)
        if follower.last_tip_read_at is not None:
            age = context.clock() - follower.last_tip_read_at
            metrics.send("config.read_age", age)
        metrics.send("permit.held", int(context.membership.get_permit().held))
        metrics.send("members.alive", len(context.membership.list_available()))
        metrics.send("usage.unappended", len(context.usage.counter.pending))
        metrics.send("lines.dropped", self._writer.dropped_lines)
        self._send_increase("retries", context.retries.retry_count)
        self._send_increase("log.unavailable", context.log.unavailable_calls)

    def _send_increase(self, name: str, total: int) -> None:
        increase = total - self._sent.get(name, 0)
        self._sent[name] = total
        if increase:
            self._metrics.send(name, increase)
