"""Measures event loop blocking of an entry process at the fleet size of two years.

Configuration and routing of an entry process run on the real reactor, with the log in
the same process, so the log's own time is included. The numbers of requests and sheets
bound the run.
"""

from __future__ import annotations

import argparse
import gc
import time
from collections import Counter
from typing import TYPE_CHECKING

from twisted.internet import task
from twisted.internet.defer import inlineCallbacks, succeed

from wisteriagw.clocks import read_boot_time
from wisteriagw.config import COLUMNS, CONFIG_CODEC, hash_key, parse_sheet
from wisteriagw.entry._entry_context import EntryContext
from wisteriagw.records import CustomerCreated, KeyGiven, SheetPublished, encode_record
from wisteriagw.routing import RouteRequest, choose_backend_server
from wisteriagw.standins._log_store import LogStore

if TYPE_CHECKING:
    from collections.abc import Callable, Generator
    from typing import Any

    from twisted.internet.defer import Deferred

SERVERS = 1500
CUSTOMERS = 240
MODELS = 5
TARGET_MS = 20.0
LOOKUPS = 1000


class LocalLog:
    """LogClient over a store in this process."""

    def __init__(self) -> None:
        self.store = LogStore(1_000_000)
        self.unavailable_calls = 0

    def append(self, stream: str, data: bytes) -> Deferred[int]:
        """Append a record."""
        return succeed(self.store.append(stream, data))

    def read(self, stream: str, start: int, limit: int) -> Deferred[Any]:
        """Read records."""
        return succeed(self.store.read(stream, start, limit))


def build_sheet_text() -> str:
    """Return a sheet of the fleet size of two years, as CSV."""
    rows = [",".join(COLUMNS)]
    rows += [f"customer,c{n},,,,,,,1,0,,,,,," for n in range(CUSTOMERS)]
    rows += [f"model,m{n},1,,,,,,,,,,,,," for n in range(MODELS)]
    for number in range(SERVERS):
        address = f"10.{number // 250}.{number % 250}.1:80"
        rows.append(
            f"engine,e{number},,,dc{number % 21},{address},m{number % MODELS},"
            "mixed,,,yes,no,,,,"
        )
    return "\n".join(rows)


def build_context(log: LocalLog) -> EntryContext:
    """Return the state of an entry process without peers."""
    settings = {
        "vm": "vm-1",
        "data-centre": "dc1",
        "listen": ("127.0.0.1", 1),
        "vm-list": None,
    }
    return EntryContext(settings, None, log, read_boot_time, Counter())


def measure(name: str, times: int, call: Callable[[], Any]) -> float:
    """Print the mean and the longest time of a call; return the longest in ms."""
    seconds = []
    for _ in range(times):
        started = time.perf_counter()
        call()
        seconds.append(time.perf_counter() - started)
    mean, longest = sum(seconds) / times * 1e3, max(seconds) * 1e3
    print(f"{name:32} mean {mean:8.4f} ms  longest {longest:8.3f} ms  n {times}")
    return longest


def route_once(context: EntryContext) -> None:
    """Do the sheet lookups of one request, without the routing decision."""
    context.running["e7"] += 1
    context.list_views()
    context.get_address("e1400")
    context.find_route("levy", "GET", "/sheets/7")
    context.running["e7"] -= 1


def publish(log: LocalLog, sheet: Any, based_on: int) -> int:
    """Append a sheet and return its offset."""
    record = SheetPublished(based_on, sheet, "ann", f"nonce-{based_on}")
    return log.store.append("config", encode_record(record))


def measure_parts(context: EntryContext, log: LocalLog, text: str) -> list[float]:
    """Measure each kind of call that runs on the event loop."""
    sheet, _ = parse_sheet(text)
    request = RouteRequest("c1", "m1", 500, 100)
    longest = [measure("check of a sheet", 5, lambda: parse_sheet(text))]
    publish(log, sheet, -1)
    longest.append(measure("first read of the sheet", 1, context.poll_config))
    longest.append(measure("index and views", 1, context.list_views))
    longest.append(
        measure("lookups of a request", LOOKUPS, lambda: route_once(context))
    )
    measure(
        "routing decision over all (old)",
        100,
        lambda: choose_backend_server(request, context.list_views(), 0.0),
    )
    for number in range(CUSTOMERS):
        name = f"c{number}"
        for record in (
            CustomerCreated(name, "ann", f"c{number}"),
            KeyGiven(name, hash_key(name), "ann", f"k{number}"),
        ):
            log.store.append("config", encode_record(record))
    longest.append(measure("read of 480 changes", 1, context.poll_config))
    longest.append(
        measure("checkpoint", 3, lambda: CONFIG_CODEC.encode(context.config))
    )
    return longest


@inlineCallbacks
def run(reactor: Any, sheets: int) -> Generator[Deferred[Any], Any, None]:
    """Measure the single calls, and the loop iterations while sheets are published."""
    log, text = LocalLog(), build_sheet_text()
    context = build_context(log)
    longest = measure_parts(context, log, text)
    sheet, _ = parse_sheet(text)
    turns: list[float] = []
    for _ in range(sheets):
        publish(log, sheet, context.config.sheet_revision)
        for _ in range(50):
            started = time.perf_counter()
            yield task.deferLater(reactor, 0, route_once, context)
            turns.append(time.perf_counter() - started)
        started = time.perf_counter()
        yield task.deferLater(reactor, 0, context.poll_config)
        route_once(context)
        turns.append(time.perf_counter() - started)
    longest.append(max(turns) * 1e3)
    print(f"longest turn of {len(turns)} with {sheets} sheets: {longest[-1]:.3f} ms")
    print(f"longest garbage collection: {COLLECTION['longest']:.3f} ms")
    print(f"target {TARGET_MS} ms, longest {max(longest):.3f} ms")


def record_collection(phase: str, info: dict[str, int]) -> None:
    """Record the longest garbage collection."""
    if phase == "start":
        COLLECTION["started"] = time.perf_counter()
        return
    taken = (time.perf_counter() - COLLECTION["started"]) * 1e3
    COLLECTION["longest"] = max(COLLECTION["longest"], taken)


COLLECTION = {"started": 0.0, "longest": 0.0}


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sheets", type=int, default=20)
    parser.add_argument(
        "--no-freeze",
        action="store_true",
        help="Let the garbage collector also traverse objects created at start-up.",
    )
    arguments = parser.parse_args()
    if not arguments.no_freeze:
        gc.freeze()
    gc.callbacks.append(record_collection)
    task.react(run, (arguments.sheets,))


if __name__ == "__main__":
    main()
