"""Backward search for a checkpoint from the tip of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.checkpoints import add_part, build_collection, choose_checkpoint
from wisteriagw.follower._search_result import SearchResult
from wisteriagw.records import CheckpointPart, decode_record

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.checkpoints import PartCollection
    from wisteriagw.clients import LogClient

PAGE_RECORDS = 500
# Twice RECORDS_BETWEEN_CHECKPOINTS, so that the first window holds a complete one.
SEARCH_RECORDS = 2000


@inlineCallbacks
def search_checkpoint(
    client: LogClient, stream: str, fold: str, next_offset: int
) -> Generator[Deferred[Any], Any, SearchResult]:
    """Return the newest usable checkpoint; fails with LogUnavailableError.

    The windows double, so that a search back to the oldest record reads each record
    at most twice on average.
    """
    window = SEARCH_RECORDS
    page = yield client.read(stream, next_offset, 1)
    while True:
        start = max(page.first_offset, page.next_offset - window)
        collection = build_collection(fold)
        offset = start
        while True:
            page = yield client.read(stream, offset, PAGE_RECORDS)
            collection = _add_parts(collection, page.records)
            if not page.records or page.records[-1].offset + 1 >= page.next_offset:
                break
            offset = page.records[-1].offset + 1
        chosen = choose_checkpoint(collection, next_offset, page.first_offset)
        if chosen is not None or start <= max(page.first_offset, next_offset):
            return SearchResult(chosen, page.first_offset, collection)
        window *= 2


def _add_parts(collection: PartCollection, records: Any) -> PartCollection:
    for offset, data in records:
        record = decode_record(data)
        if isinstance(record, CheckpointPart):
            collection = add_part(collection, record, offset)
    return collection
