"""Measures the slopes that docs/CAPACITY.md uses, in one process and in memory.

Usage: measure_capacity.py. Each line of the output is one slope: the quantity, the
point at which it was measured, and its value there. Times are CPU times.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import Any, NamedTuple

PAGE_BYTES = 4096
CUSTOMERS = 240
KEYS_PER_CUSTOMER = 10
ENGINES = 1500
SEED = 1


class Slope(NamedTuple):
    """One measured slope."""

    subject: str
    points: str
    value: float
    unit: str


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def measure_baseline() -> list[Slope]:
    """Measure the idle memory of the interpreter, the libraries and the programs.

    It runs first, because earlier imports would distort the result.
    """
    slopes = [
        Slope("interpreter at rest", "1 run", read_resident_bytes() / 2**20, "MB")
    ]
    before = read_resident_bytes()
    import cbor2  # noqa: F401
    import eliot  # noqa: F401
    import statsd  # noqa: F401
    import twisted.web.client  # noqa: F401
    import twisted.web.server  # noqa: F401
    import websockets.client  # noqa: F401
    import websockets.server  # noqa: F401
    import xxhash  # noqa: F401
    from twisted.internet import reactor  # noqa: F401

    after = read_resident_bytes()
    slopes.append(Slope("named libraries", "1 run", (after - before) / 2**20, "MB"))
    import wisteriagw.control  # noqa: F401
    import wisteriagw.entry  # noqa: F401

    grown = (read_resident_bytes() - after) / 2**20
    slopes.append(Slope("modules of entry and control", "1 run", grown, "MB"))
    return slopes


def time_per_call(function: Any, calls: int) -> float:
    """Return the mean CPU time of one call in microseconds."""
    started = time.process_time()
    for number in range(calls):
        function(number)
    return (time.process_time() - started) / calls * 1e6


def measure_bytes(build: Any) -> tuple[Any, int]:
    """Return the result of a function and the bytes of memory that it occupies."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def build_sheet(engines: int) -> dict[str, Any]:
    """Return a sheet with a number of engines and 240 customers."""
    return {
        "customers": [
            {"name": f"customer-{n}", "weight": 1.0, "priority": 0}
            for n in range(CUSTOMERS)
        ],
        "models": [
            {"name": f"model-{n}", "version": "1", "adapters": []} for n in range(5)
        ],
        "backend_servers": [
            {
                "name": f"engine-{n}",
                "data_centre": f"dc{n % 21}",
                "address": f"10.0.{n // 250}.{n % 250}:8000",
                "kind": "engine",
                "serves": f"model-{n % 5}",
                "role": ("prefill", "decode")[n % 2],
                "checks_fencing": True,
                "reclaimable": n % 3 == 0,
            }
            for n in range(engines)
        ],
        "routes": [],
    }


def measure_config() -> list[Slope]:
    """Measure the configuration fold."""
    from wisteriagw.config import apply_record, build_empty_config
    from wisteriagw.records import (
        CustomerCreated,
        KeyGiven,
        KeyWithdrawn,
        SheetPublished,
        encode_record,
    )

    def build() -> Any:
        state, offset = build_empty_config(), 0
        for n in range(CUSTOMERS):
            state = apply_record(
                CustomerCreated(f"customer-{n}", "a", "n"), state, offset
            )
            offset += 1
            for key in range(KEYS_PER_CUSTOMER):
                key_hash = f"{n}-{key}".encode().ljust(32, b"k")
                record = KeyGiven(f"customer-{n}", key_hash, "ann", "nonce")
                state = apply_record(record, state, offset)
                offset += 1
        return state

    state, size = measure_bytes(build)
    keys = CUSTOMERS * KEYS_PER_CUSTOMER
    withdrawn = KeyWithdrawn(b"0-0".ljust(32, b"k"), "ann", "nonce")
    change = time_per_call(
        lambda n: apply_record(withdrawn, state, state.revision + 1 + n), 200
    )
    slopes = [
        Slope("configuration, per key", f"{keys} keys", size / keys, "bytes"),
        Slope("configuration, key change", f"{keys} keys", change, "us"),
        Slope(
            "key record in the log", "1 record", len(encode_record(withdrawn)), "bytes"
        ),
    ]
    for engines in (9, 500, ENGINES):
        record = SheetPublished(-1, build_sheet(engines), "ann", "nonce")
        data = encode_record(record)
        point = f"{engines} engines"
        slopes.append(Slope("sheet record in the log", point, len(data), "bytes"))
        spent = time_per_call(lambda n, r=record: apply_record(r, state, 10_000), 20)
        slopes.append(Slope("sheet, apply", point, spent, "us"))
    _, size = measure_bytes(lambda: build_sheet(ENGINES))
    slopes.append(Slope("sheet in memory", f"{ENGINES} engines", size / 2**20, "MB"))
    return slopes


def measure_claims() -> list[Slope]:
    """Measure the fold of idempotency claims."""
    from wisteriagw.calls import apply_call_record, build_empty_calls
    from wisteriagw.records import CallBatch, CallClaimed, CallFinished, encode_record

    def build_entries(start: int, count: int) -> list[bytes]:
        entries = []
        for n in range(start, start + count):
            key_hash = str(n).encode().ljust(32, b"k")
            claim = CallClaimed(
                f"customer-{n % 240}", key_hash, b"d" * 32, "vm-1", f"{n}"
            )
            done = CallFinished(
                claim.customer, key_hash, f"{n}", True, 200, "text/plain", b"ok", True
            )
            entries += [encode_record(claim), encode_record(done)]
        return entries

    slopes = []
    for calls in (1_000, 10_000, 40_000):
        batches = [
            CallBatch("vm-1", 1e9 + n / 1e3, build_entries(n, 100))
            for n in range(0, calls, 100)
        ]

        def fold(batches: list[CallBatch] = batches) -> Any:
            state = build_empty_calls()
            for offset, batch in enumerate(batches):
                state = apply_call_record(batch, state, offset)
            return state

        started = time.process_time()
        fold()
        spent = (time.process_time() - started) / calls * 1e6
        _, size = measure_bytes(fold)
        slopes.append(Slope("keyed call, fold", f"{calls} calls", spent, "us"))
        slopes.append(
            Slope("keyed call, state", f"{calls} calls", size / calls, "bytes")
        )
    wire = len(encode_record(batches[0])) / 100
    slopes.append(Slope("keyed call in the log", "batches of 100", wire, "bytes"))
    return slopes


def measure_leases() -> list[Slope]:
    """Measure the size of a lease renewal."""
    from wisteriagw.records import LeaseRenewal, encode_record

    size = len(encode_record(LeaseRenewal("fleet", 123456, "0123456789abcdef", 234567)))
    return [Slope("lease renewal in the log", "1 record", size, "bytes")]


def measure_usage() -> list[Slope]:
    """Measure the fold of usage partials."""
    from wisteriagw.records import UsageBatch, encode_record
    from wisteriagw.usage import apply_usage_record, build_empty_usage

    slopes = []
    for customers in (8, 60, CUSTOMERS):
        rows = [
            [29_000_000, f"customer-{n}", 123_456, 23_456, 34_567, 12]
            for n in range(customers)
        ]
        state = build_empty_usage()
        spent = time_per_call(
            lambda n, s=state, r=rows: apply_usage_record(
                UsageBatch([["vm-1", "i", n, r, []]]), s, n
            ),
            200,
        )
        wire = len(encode_record(UsageBatch([["vm-1", "i", 0, rows, []]])))
        point = f"{customers} customers"
        slopes.append(Slope("usage partial, fold", point, spent, "us"))
        slopes.append(Slope("usage partial in the log", point, wire, "bytes"))
    return slopes


def measure_routing() -> list[Slope]:
    """Measure one routing decision of the dispatcher, with its accounting."""
    from wisteriagw.dispatch import Dispatcher
    from wisteriagw.routing import BackendView, LoadReport, LoadTable, RouteRequest

    slopes = []
    for servers in (9, 100, 500, ENGINES):
        views = [
            BackendView(f"engine-{n}", f"dc{n % 21}", f"model-{n % 5}", "mixed")
            for n in range(servers)
        ]
        table = LoadTable({})
        table.set_servers(views)
        generator = random.Random(SEED)
        weights = {f"customer-{n}": 1.0 for n in range(CUSTOMERS)}
        dispatcher = Dispatcher(table, weights, generator.randrange)

        def decide(n: int, dispatcher: Any = dispatcher) -> None:
            now = 1000.0 + n / 1000
            request = RouteRequest(f"customer-{n % 240}", f"model-{n % 5}", 500, 100)
            dispatcher.submit(str(n), request, now + 1.6, now)
            dispatcher.dispatch_queued(now)
            dispatcher.record_end(str(n), 100, now)

        spent = time_per_call(decide, 2000)
        point = f"{servers} servers, 240 customers"
        slopes.append(Slope("routing decision with its account", point, spent, "us"))

        def report(n: int, table: Any = table, servers: int = servers) -> None:
            name = f"engine-{n % servers}"
            table.apply_report(LoadReport(name, 1000.0 + n, 100, 5))

        spent = time_per_call(report, 2000)
        slopes.append(Slope("load report, apply", point, spent, "us"))
    return slopes


def measure_tokens() -> list[Slope]:
    """Measure the parsing of an engine's events, without the transports."""
    from wisteriagw.backends import StreamPosition
    from wisteriagw.entry._event_reader import EventReader

    class Sink:
        """Discards the events that the reader passes on."""

        def write_tokens(self, events: list[bytes]) -> None:
            """Discard the events."""

    reader = EventReader(Sink(), StreamPosition(b"a1b2c3d4", 0))
    data = b'data: {"choices": [{"index": 0, "delta": {"content": "word "}}]}\n\n'
    events = [b"id: a1b2c3d4/%d\n%b" % (n, data) for n in range(50_000)]
    spent = time_per_call(lambda n: reader.dataReceived(events[n]), len(events))
    return [Slope("token, read and checked", "50000 tokens", spent, "us")]


def main() -> None:
    """Print every slope."""
    slopes = measure_baseline()
    measures = (
        measure_config,
        measure_claims,
        measure_leases,
        measure_usage,
        measure_routing,
        measure_tokens,
    )
    for measure in measures:
        slopes += measure()
    print("| subject | points | value | unit |\n| --- | --- | --- | --- |")
    for slope in slopes:
        cells = (slope.subject, slope.points, f"{slope.value:,.1f}", slope.unit)
        print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
