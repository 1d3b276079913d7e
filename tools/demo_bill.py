"""Waits until the usage of the demo is reported, and prints it."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater, react

from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Generator

ATTEMPTS = 80
EXPECTED = {"generated tokens": 200, "service calls": 2}


@inlineCallbacks
def run(reactor: Any, port: str) -> Generator[Deferred[Any], Any, None]:
    """Poll the usage interface until its reports add up to the expected usage."""
    client = HttpClient(reactor)
    billed: dict[str, int] = {}
    for _ in range(ATTEMPTS):
        outcome = yield client.send(("127.0.0.1", int(port)), "GET", "/reports")
        if isinstance(outcome, Done):
            reports = json.loads(outcome.body)["reports"]
            rows = [row for report in reports for row in report["rows"]]
            sums = (sum(row[4] for row in rows), sum(row[5] for row in rows))
            billed = dict(zip(EXPECTED, sums, strict=True))
        if billed == EXPECTED:
            break
        yield deferLater(reactor, 0.5)
    print(f"billed: {billed}")
    if billed != EXPECTED:
        sys.exit(1)


if __name__ == "__main__":
    react(run, sys.argv[1:])
