"""Prints the CPU time of one routing decision by the number of servers."""

from __future__ import annotations

import json
import random
import sys
import time

from wisteriagw.dispatch import Dispatcher
from wisteriagw.routing import BackendView, LoadReport, LoadTable, RouteRequest

SIZES = (9, 16, 100, 500, 1500)
DECISIONS = 2000


def measure(servers: int) -> float:
    """Return the mean CPU time in microseconds of a decision and its accounting."""
    draw = random.Random(1)
    table = LoadTable({})
    table.set_servers(
        BackendView(f"engine-{index}", f"dc{index % 21}", "model", "decode")
        for index in range(servers)
    )
    for index in range(servers):
        table.apply_report(LoadReport(f"engine-{index}", 0.0, draw.random() * 500, 5))
    dispatcher = Dispatcher(table, {"customer": 1.0}, draw.randrange)
    spent = 0
    for number in range(DECISIONS):
        now = number * 0.001
        blocks = tuple(range(number % 20, number % 20 + 8))
        request = RouteRequest("customer", "model", 8200, 200, blocks=blocks)
        dispatcher.submit(str(number), request, now + 10.0, now)
        started = time.process_time_ns()
        results = dispatcher.dispatch_queued(now)
        spent += time.process_time_ns() - started
        for result in results:
            dispatcher.record_first_token(result.handle, now)
            dispatcher.record_end(result.handle, 100, now)
    return spent / 1000 / DECISIONS


def main() -> None:
    """Measure all sizes."""
    figures = {str(size): round(measure(size), 1) for size in SIZES}
    sys.stdout.write(json.dumps({"decision_microseconds": figures}) + "\n")


if __name__ == "__main__":
    main()
