"""Tests of logs and metrics."""

from __future__ import annotations

import json
import os
import socket

import pytest

from wisteriagw.telemetry import LineWriter, Metrics


class TestLineWriter:
    """Guards against a slow reader of the log that stops the event loop."""

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


class TestMetrics:
    """Guards against metrics without a name on the page, or that fail the program."""

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
