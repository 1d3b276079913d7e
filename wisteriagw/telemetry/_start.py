"""Start of a program's logging."""

from __future__ import annotations

import logging
import sys
from typing import Any

import eliot
from eliot.stdlib import EliotHandler
from twisted.internet import reactor

from wisteriagw.telemetry._line_writer import LineWriter


def start_logging(
    program: str, level: str = "info", stream: Any = sys.stderr
) -> LineWriter:
    """Write eliot messages and the module loggers' output as JSON lines to a stream."""
    writer = LineWriter(stream.fileno(), program, reactor)
    eliot.add_destinations(writer)
    root = logging.getLogger("wisteriagw")
    root.addHandler(EliotHandler())
    root.setLevel(level.upper())
    return writer
