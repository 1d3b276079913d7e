"""Sending of metrics to statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

from wisteriagw.telemetry._metric_table import METRICS

if TYPE_CHECKING:
    from typing import Any

GAUGE_INTERVAL_SECONDS = 10.0
_KINDS = {metric.name: metric.kind for metric in METRICS}


class Metrics:
    """Metrics of one program; a value that cannot be sent at once is dropped.

    Parameters
    ----------
    address : tuple of str and int or None
        IP address and port of the statsd server; with None, nothing is sent.
    program, vm : str
        Names of the program and the VM, used in the prefix of all metric names.
    """

    def __init__(self, address: tuple[str, int] | None, program: str, vm: str) -> None:
        self._client: Any = None
        if address is None:
            return
        host, port = address
        prefix = f"wisteriagw.{program}.{vm}"
        self._client = StatsClient(host, port, prefix, ipv6=":" in host)
        # A full socket buffer must not block the event loop.
        self._client._sock.setblocking(False)

    def send(self, name: str, value: float = 1) -> None:
        """Send a value of a metric; raises KeyError if it is not in ``METRICS``."""
        kind = _KINDS[name]
        if self._client is None:
            return
        if kind == "counter":
            self._client.incr(name, value)
            return
        if kind == "gauge":
            self._client.gauge(name, value)
            return
        self._client.timing(name, value)
