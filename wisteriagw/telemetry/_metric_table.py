"""Table of all metrics."""

from __future__ import annotations

from wisteriagw.telemetry._metric import Metric

METRICS = (
    Metric("requests.done", "counter", "requests", "Completed requests."),
    Metric("requests.not_run", "counter", "requests", "Requests refused as not run."),
    Metric(
        "requests.may_have_run",
        "counter",
        "requests",
        "Failed requests that may have run.",
    ),
    Metric("requests.first_token", "timer", "ms", "Time to the first token."),
    Metric("requests.open", "gauge", "requests", "Requests being served."),
    Metric("tokens.generated", "counter", "tokens", "Tokens of complete answers."),
    Metric("retries", "counter", "attempts", "Attempts after the first."),
    Metric("config.revision", "gauge", "offset", "Revision of the configuration."),
    Metric("config.read_age", "gauge", "s", "Age of the last read of the log's tip."),
    Metric("permit.held", "gauge", "0 or 1", "Whether the process may serve."),
    Metric("members.alive", "gauge", "VMs", "Entry VMs considered alive."),
    Metric("log.unavailable", "counter", "calls", "Calls to the log without a reply."),
    Metric("lease.held", "gauge", "0 or 1", "Whether the process holds its lease."),
    Metric("orders.sent", "counter", "orders", "Orders sent to backend servers."),
    Metric("orders.unknown", "counter", "orders", "Orders whose reply was lost."),
    Metric("usage.unappended", "gauge", "partials", "Partials not yet in the log."),
    Metric("usage.unreported", "gauge", "windows", "Closed windows not yet reported."),
    Metric(
        "lines.dropped",
        "gauge",
        "lines",
        "Log lines dropped because the reader was slow.",
    ),
)
