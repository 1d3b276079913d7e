"""Tests of logs and metrics."""

from __future__ import annotations

import json
import os
import socket
from types import SimpleNamespace

import pytest

from tests.support import OperatorCalls
from wisteriagw.entry._request_report import decide_outcome, describe_route
from wisteriagw.entry._telemetry_reporter import TelemetryReporter
from wisteriagw.telemetry import LineWriter, Metrics


class TestLineWriter:
    """Guards against a slow reader of the log lines that blocks the event loop."""

    def test_full_pipe_drops_lines_and_counts_them(self) -> None:
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor, "entry")
        for number in range(15_000):
            writer({"message": "x" * 100, "number": number})
        assert writer.dropped_lines > 0
        first = os.read(reader, 65536).split(b"\n")[0]
        assert json.loads(first)["number"] == 0
        os.close(reader)
        os.close(descriptor)

    def test_partly_written_line_is_finished_later(self) -> None:
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor, "entry")
        for number in range(2_000):
            writer({"message": "x" * 100, "number": number})
        received = os.read(reader, 1 << 20)
        writer({"message": "last"})
        received += os.read(reader, 1 << 20)
        lines = received.split(b"\n")[:-1]
        numbers = [json.loads(line).get("number") for line in lines]
        assert numbers == list(range(len(numbers)))
        os.close(reader)
        os.close(descriptor)

    def test_buffered_lines_are_written_when_the_pipe_is_writable(self) -> None:
        reader, descriptor = os.pipe()
        watched: list[LineWriter] = []
        reactor = SimpleNamespace(addWriter=watched.append, removeWriter=watched.remove)
        writer = LineWriter(descriptor, "entry", reactor)
        for number in range(2_000):
            writer({"message": "x" * 100, "number": number})
        received = b""
        while watched:
            assert watched == [writer]
            received += os.read(reader, 1 << 20)
            writer.doWrite()
        received += os.read(reader, 1 << 20)
        lines = [json.loads(line) for line in received.splitlines()]
        assert [line["number"] for line in lines] == list(range(2_000))
        os.close(reader)
        os.close(descriptor)


class TestMetrics:
    """Guards against undocumented metrics and wrong names on the wire."""

    def test_value_arrives_under_its_prefix(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            metrics = Metrics(server.getsockname(), "entry", "vm-1")
            metrics.send("requests.done", 2)
            assert server.recv(1000) == b"wisteriagw.entry.vm-1.requests.done:2|c"

    def test_unknown_name_is_refused(self) -> None:
        with pytest.raises(KeyError):
            Metrics(None, "entry", "vm-1").send("requests.unknown")


class RecordedMetrics:
    """Metrics that are recorded instead of sent."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = {}

    def send(self, name: str, value: float = 1) -> None:
        self.sent[name] = value


class TestEntryMetrics:
    """Guards against stale gauges and counter increments that are sent twice."""

    def test_sends_gauges_and_only_the_increments_of_counters(self) -> None:
        calls, metrics = OperatorCalls(), RecordedMetrics()
        calls.call("customers", {"customer": "market"})
        writer = SimpleNamespace(dropped_lines=3)
        reporter = TelemetryReporter(calls.context, metrics, writer, log_lines=True)
        reporter.site = SimpleNamespace(open_requests=2)
        calls.context.retries.retry_count, calls.log.unavailable_calls = 5, 0
        calls.clock.advance(1)
        reporter.send_gauges()
        assert metrics.sent == {
            "requests.open": 2,
            "config.revision": 0,
            "config.read_age": 1,
            "permit.held": 1,
            "members.alive": 1,
            "usage.unappended": 0,
            "lines.dropped": 3,
            "retries": 5,
        }
        metrics.sent.clear()
        calls.context.retries.retry_count, calls.log.unavailable_calls = 7, 1
        reporter.send_gauges()
        assert (metrics.sent["retries"], metrics.sent["log.unavailable"]) == (2, 1)


class TestRequestReport:
    """Guards against lost requests reported as done, and caller-supplied text."""

    @pytest.mark.parametrize(
        ("not_run", "answered", "aborted", "outcome"),
        [
            (None, True, False, "done"),
            (True, True, False, "not_run"),
            (False, True, False, "may_have_run"),
            (None, False, True, "may_have_run"),
            (None, False, False, "connection_lost"),
        ],
    )
    def test_outcome(self, not_run, answered, aborted, outcome) -> None:
        found = decide_outcome(not_run, answered=answered, aborted=aborted)
        assert found == outcome

    @pytest.mark.parametrize(
        ("path", "route"),
        [
            (b"/v1/services/levy/accounts/ann", "/v1/services"),
            (b"/v1/ann/x", "other"),
            (b"/healthz", "/healthz"),
            (b"/", "other"),
        ],
    )
    def test_route_contains_no_caller_supplied_text(self, path, route) -> None:
        assert describe_route(path) == route
