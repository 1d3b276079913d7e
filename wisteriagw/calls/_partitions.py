"""Partitions of the idempotency keys."""

from __future__ import annotations

import xxhash

PARTITIONS = 16


def find_partition(customer: str, key_hash: bytes) -> int:
    """Return the partition of a customer's key."""
    return xxhash.xxh64_intdigest(customer.encode("utf-8") + key_hash) % PARTITIONS


def name_stream(partition: int) -> str:
    """Return the log stream of a partition."""
    return f"calls-{partition:02d}"
