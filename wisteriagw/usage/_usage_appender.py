"""Appending of partials to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.records import UsageBatch, encode_record

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import LogClient
    from wisteriagw.usage._usage_partial import UsagePartial

USAGE_STREAM = "usage"
# Keeps a record under about 100 KB with 240 customers in each partial.
MAX_BATCH_PARTIALS = 10


@inlineCallbacks
def append_partials(
    log: LogClient, partials: Iterable[UsagePartial]
) -> Generator[Deferred[Any], Any, list[UsagePartial]]:
    """Append partials in batches and return those that are in the log.

    Fails with LogUnavailableError at the first batch without a reply. Such a batch is
    appended again later: a partial counts once, however often it is in the log.
    """
    remaining = list(partials)
    appended: list[UsagePartial] = []
    for start in range(0, len(remaining), MAX_BATCH_PARTIALS):
        batch = remaining[start : start + MAX_BATCH_PARTIALS]
        record = UsageBatch([list(partial) for partial in batch])
        yield log.append(USAGE_STREAM, encode_record(record))
        appended.extend(batch)
    return appended
