"""Counters and histograms of a gateway process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Upper bounds in seconds, from the latency of a plain call to the longest timeout.
LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class GatewayMetrics:
    """Metrics of one process, served as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = Counter(
            "wisteriagw_requests",
            "Requests by route kind and outcome",
            ("kind", "outcome"),
            registry=self._registry,
        )
        self.first_event = Histogram(
            "wisteriagw_first_event_seconds",
            "Time to the answer or to the first event of a stream",
            ("kind",),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self.attempts = Counter(
            "wisteriagw_attempts",
            "Attempts at backend servers by outcome",
            ("service", "outcome"),
            registry=self._registry,
        )
        self.server_crashes = Counter(
            "wisteriagw_server_crashes",
            "Backend servers that ended with requests of this VM open",
            ("service",),
            registry=self._registry,
        )
        self.quota_refusals = Counter(
            "wisteriagw_quota_refusals",
            "Requests of customers that were refused because of their quota",
            ("customer", "reason"),
            registry=self._registry,
        )
        self.quota_level = Gauge(
            "wisteriagw_quota_level",
            "Tokens that are left of a customer's quota over all VMs, negative in debt",
            ("customer",),
            registry=self._registry,
        )
        self.hedges_sent = Counter(
            "wisteriagw_hedges_sent",
            "Second attempts of slow requests",
            ("service",),
            registry=self._registry,
        )
        self.hedge_results = Counter(
            "wisteriagw_hedge_results",
            "Second attempts of slow requests that have ended, by outcome",
            ("service", "outcome"),
            registry=self._registry,
        )
        self.hedges_denied = Counter(
            "wisteriagw_hedges_denied",
            "Slow requests without a second attempt, by the limit that denied it",
            ("service", "limit"),
            registry=self._registry,
        )
        self.hedge_seconds = Counter(
            "wisteriagw_hedge_extra_server_seconds",
            "Server seconds of attempts that hedging made superfluous",
            ("service",),
            registry=self._registry,
        )
        self.configuration_age = Gauge(
            "wisteriagw_configuration_age_seconds",
            "Time since the configuration was last confirmed to be current",
            registry=self._registry,
        )
        self.register_age = Gauge(
            "wisteriagw_register_age_seconds",
            "Time since the register of backend servers was last confirmed",
            registry=self._registry,
        )
        self.server_notices = Gauge(
            "wisteriagw_server_notices",
            "Backend servers that leave, pause or limit requests by their own notice",
            ("kind",),
            registry=self._registry,
        )
        self.store_restores = Gauge(
            "wisteriagw_store_restores",
            "Times that the store came back from an older copy since the start",
            registry=self._registry,
        )
        self.buffered_bytes = Gauge(
            "wisteriagw_buffered_bytes",
            "Bodies of servers' answers and callers' requests that are being received",
            ("side",),
            registry=self._registry,
        )
        self.dropped_buffers = Gauge(
            "wisteriagw_dropped_buffers",
            "Bodies that were dropped since the start because all took too much memory",
            ("side",),
            registry=self._registry,
        )
        self.vms = Gauge(
            "wisteriagw_vms",
            "VMs that are alive, including this one",
            registry=self._registry,
        )
        self.backend_servers = Gauge(
            "wisteriagw_backend_servers",
            "Registered backend servers",
            registry=self._registry,
        )

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)
