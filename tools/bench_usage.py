"""Measures the size of usage partials and the time to fold them."""

from __future__ import annotations

import argparse
import gc
import os
import statistics
import time

from wisteriagw.messages import UsageCopy, encode_message
from wisteriagw.records import UsageBatch, decode_record, encode_record
from wisteriagw.usage import (
    UsageCounter,
    UsageFigures,
    apply_usage_record,
    build_empty_usage,
)

FIGURES = UsageFigures(48_000, 31_000, 5_100, 12)
REQUEST_FIGURES = UsageFigures(4_800, 3_100, 510, 0)
PARTIALS_PER_RECORD = 4
# With 410 VMs, each serves 27 requests a second; about one in 13 is counted by its id.
REQUESTS_PER_PARTIAL = 1


def build_records(customers: int, records: int) -> list[bytes]:
    """Return records of one process, each with the partials of 2 s."""
    counter = UsageCounter("vm-0123", "0123456789abcdef")
    encoded = []
    for number in range(records):
        window = 29_000_000 + number // 30
        partials = []
        for part in range(PARTIALS_PER_RECORD):
            for customer in range(customers):
                counter.count(window, f"customer-{customer}", FIGURES)
            for request in range(REQUESTS_PER_PARTIAL):
                request_id = f"{number:016x}{part:08x}{request:08x}"
                counter.count_by_id(request_id, window, "customer-0", REQUEST_FIGURES)
            partial = counter.create_partial()
            counter.mark_appended(partial.seq)
            partials.append(list(partial))
        encoded.append(encode_record(UsageBatch(partials)))
    return encoded


def measure_fold(encoded: list[bytes], repeats: int) -> float:
    """Return the median time in microseconds to decode and fold a record."""
    times = []
    for _ in range(repeats):
        gc.collect()
        state = build_empty_usage()
        started = time.perf_counter()
        for offset, data in enumerate(encoded):
            state = apply_usage_record(decode_record(data), state, offset)
        times.append((time.perf_counter() - started) * 1e6 / len(encoded))
    return statistics.median(times)


def measure_copy(customers: int) -> int:
    """Return the size of a mesh message with one partial without request ids."""
    counter = UsageCounter("vm-0123", "0123456789abcdef")
    for customer in range(customers):
        counter.count(29_000_000, f"customer-{customer}", FIGURES)
    partial = counter.create_partial()
    rows = (partial.seq, partial.entries, partial.requests)
    return len(encode_message(UsageCopy(partial.incarnation, 0, (rows,))))


def main() -> None:
    """Print one line per number of customers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--records", type=int, default=300)
    parser.add_argument("--customers", type=int, nargs="+", default=[8, 60, 240])
    arguments = parser.parse_args()
    print(f"cores: {os.cpu_count()}, median of {arguments.repeats} runs")
    print("customers  bytes/record  bytes/partial  bytes/row  bytes/copy  us/record")
    for customers in arguments.customers:
        encoded = build_records(customers, arguments.records)
        size = statistics.mean(len(data) for data in encoded)
        partial = size / PARTIALS_PER_RECORD
        row = partial / (customers + REQUESTS_PER_PARTIAL)
        fold = measure_fold(encoded, arguments.repeats)
        copy = measure_copy(customers)
        print(
            f"{customers:9d}  {size:12.0f}  {partial:13.0f}  {row:9.1f}  {copy:10d}  "
            f"{fold:9.1f}"
        )


if __name__ == "__main__":
    main()
