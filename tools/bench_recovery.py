"""Measures the time to recover a configuration by the number of records."""

from __future__ import annotations

import argparse
import gc
import os
import statistics
import time

from twisted.internet.defer import succeed

from wisteriagw.checkpoints import Retention
from wisteriagw.config import CONFIG_CODEC, apply_record, build_empty_config
from wisteriagw.follower import CheckpointWriter, StreamFollower
from wisteriagw.records import CustomerCreated, KeyGiven, KeyWithdrawn, encode_record
from wisteriagw.standins._log_store import LogStore

STREAM = "config"
CUSTOMERS = 240
RETENTION = Retention(10_000_000, 1e9)


class StoreClient:
    """LogClient over a LogStore without a network."""

    def __init__(self) -> None:
        self._store = LogStore(RETENTION.records)

    def append(self, stream: str, data: bytes):
        """Append a record."""
        return succeed(self._store.append(stream, data))

    def read(self, stream: str, start: int, limit: int):
        """Read records."""
        return succeed(self._store.read(stream, start, limit))


def build_log(records: int, *, checkpoints: bool) -> StoreClient:
    """Return a log in which keys are issued and withdrawn, one for each customer."""
    client = StoreClient()
    follower = build_follower(client)
    writer = CheckpointWriter(client, follower, RETENTION, time.monotonic)
    for number in range(records):
        customer = f"customer-{number % CUSTOMERS}"
        key_block = max(number // CUSTOMERS - 1, 0) // 2
        key_hash = (key_block * CUSTOMERS + number % CUSTOMERS + 1).to_bytes(32, "big")
        record = KeyGiven(customer, key_hash, "ann", str(number))
        if number < CUSTOMERS:
            record = CustomerCreated(customer, "ann", str(number))
        elif number // CUSTOMERS % 2 == 0:
            record = KeyWithdrawn(key_hash, "ann", str(number))
        client.append(STREAM, encode_record(record))
        if checkpoints and number % 100 == 0:
            follower.poll()
            writer.write_if_due()
    return client


def build_follower(client: StoreClient) -> StreamFollower:
    """Return a fresh follower."""
    return StreamFollower(
        client,
        STREAM,
        build_empty_config(),
        apply_record,
        time.monotonic,
        CONFIG_CODEC,
    )


def measure(client: StoreClient, repeats: int) -> float:
    """Return the median recovery time of a fresh follower in milliseconds."""
    times = []
    for _ in range(repeats):
        gc.collect()
        follower = build_follower(client)
        started = time.perf_counter()
        follower.poll()
        times.append((time.perf_counter() - started) * 1000)
    return statistics.median(times)


def main() -> None:
    """Print one line per number of records, and the slope of each column."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument(
        "--records", type=int, nargs="+", default=[1000, 3000, 10_000, 30_000]
    )
    arguments = parser.parse_args()
    print(f"cores: {os.cpu_count()}, median of {arguments.repeats} runs")
    print("records  without checkpoints (ms)  with checkpoints (ms)")
    points = []
    for records in arguments.records:
        without_checkpoints = measure(
            build_log(records, checkpoints=False), arguments.repeats
        )
        with_checkpoints = measure(
            build_log(records, checkpoints=True), arguments.repeats
        )
        points.append((records, without_checkpoints, with_checkpoints))
        print(f"{records:7d}  {without_checkpoints:24.1f}  {with_checkpoints:21.1f}")
    for column, title in ((1, "without"), (2, "with")):
        slope = statistics.linear_regression(
            [point[0] for point in points], [point[column] for point in points]
        ).slope
        print(f"slope {title} checkpoints: {slope * 1000:.1f} us a record")


if __name__ == "__main__":
    main()
