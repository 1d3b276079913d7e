"""Metrics that the programs send."""

from __future__ import annotations

from wisteriagw.telemetry._metric import Metric

METRICS = (
    Metric("requests.done", "counter", "requests", "Requests answered whole."),
    Metric("requests.not_run", "counter", "requests", "Refusals that say not run."),
    Metric(
        "requests.may_have_run", "counter", "requests", "Answers with unknown effect."
    ),
    Metric("requests.first_token", "timer", "ms", "Time to the first token."),
    Metric("requests.open", "gauge", "requests", "Requests being served."),
    Metric("tokens.generated", "counter", "tokens", "Tokens of whole answers."),
    Metric("retries", "counter", "attempts", "Attempts after the first."),
    Metric("config.revision", "gauge", "offset", "Revision of the configuration."),
    Metric("config.read_age", "gauge", "s", "Age of the last read to the log's tip."),
    Metric("permit.held", "gauge", "0 or 1", "Whether the process may serve."),
    Metric("members.alive", "gauge", "VMs", "Entry VMs that are heard."),
    Metric("log.unavailable", "counter", "calls", "Calls to the log without answer."),
    Metric("lease.held", "gauge", "0 or 1", "Whether the process holds its lease."),
    Metric("orders.sent", "counter", "orders", "Orders sent to backend servers."),
    Metric("orders.unknown", "counter", "orders", "Orders whose reply was lost."),
    Metric("usage.unappended", "gauge", "partials", "Partials not in the log yet."),
    Metric("usage.unreported", "gauge", "windows", "Closed windows not reported yet."),
    Metric("lines.dropped", "gauge", "lines", "Log lines lost to a slow reader."),
)
