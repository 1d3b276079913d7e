"""Client of the platform's store."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from wisteriagw.eras import EraTracker, StorePosition
from wisteriagw.jsondata import load_json
from wisteriagw.outcomes import Done, FailedNotRun, RefusedNotRun
from wisteriagw.platform._append_conflict import AppendConflictError
from wisteriagw.platform._store_page import StorePage
from wisteriagw.platform._store_record import StoreRecord
from wisteriagw.platform._store_unavailable import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.outcomes import Outcome

KEYED_PREFIX = "keyed."
ERA_HEADER = b"store-era"
# Fencing numbers hold the era beside an offset.
MAX_ERA_DIGITS = 6
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
# The store usually responds within milliseconds; a call that takes a second is given
# up as lost.
CALL_TIMEOUT_SECONDS = 1.0


class StoreClient:
    """Reads and appends records of the store's topics.

    Parameters
    ----------
    client : CallClient
        Sends calls and returns their outcomes.
    address : tuple of str and int
        Address of the store.

    Attributes
    ----------
    eras : EraTracker
        Era of the store.
    """

    def __init__(
        self,
        client: Any,
        address: tuple[str, int],
        eras: EraTracker | None = None,
    ) -> None:
        self.eras = eras or EraTracker()
        self._client = client
        self._address = address

    async def append(
        self,
        topic: str,
        records: Iterable[tuple[str, bytes]],
        expected_end: StorePosition | None = None,
    ) -> StorePosition:
        """Append key-value records atomically; return the position of the first.

        Raises AppendConflictError if the topic does not end at ``expected_end``, and
        also if the records were appended at that offset in another era.
        """
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end.offset
        keyed = topic.startswith(KEYED_PREFIX)
        body = b"".join(encode_record(key, value, keyed) for key, value in records)
        outcome, era = await self._call("POST", f"/log-append?{urlencode(query)}", body)
        reply = read_json(outcome, (200, 412))
        end = StorePosition(era, int(reply["end_offset"]))
        if outcome.status == 412:
            raise AppendConflictError(end)
        if expected_end is not None and expected_end.era != era:
            raise AppendConflictError(end)
        return StorePosition(era, int(reply["offset"]))

    async def read(
        self, topic: str, start: StorePosition, wait: float = 0.0
    ) -> StorePage:
        """Read records from a position on; wait some seconds for the first."""
        query = urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": start.offset,
                "max_wait_ms": int(wait * 1000),
            }
        )
        outcome, era = await self._call("GET", f"/log-read?{query}", wait=wait)
        if outcome.status in (200, 410) and era != start.era:
            return StorePage((), StorePosition(era, 0), complete=False)
        if outcome.status == 410:
            first = int(read_json(outcome, (410,))["first_offset"])
            return StorePage((), StorePosition(era, first), complete=False)
        check_status(outcome, (200,))
        return decode_records(outcome.body, start, topic.startswith(KEYED_PREFIX))

    async def read_newest(self, topic: str) -> StorePage:
        """Read the newest record of each key."""
        records: list[StoreRecord] = []
        query: dict[str, Any] = {"topic": topic, "part": 0}
        end: StorePosition | None = None
        while True:
            outcome, era = await self._call("GET", f"/log-newest?{urlencode(query)}")
            reply = read_json(outcome, (200,))
            if end is not None and era != end.era:
                raise StoreUnavailableError(
                    f"the store was restored while {topic} was read", may_have_run=False
                )
            items = reply["items"]
            records.extend(
                StoreRecord(
                    item["offset"],
                    item["key"],
                    base64.b64decode(item["value"] or ""),
                    era,
                )
                for item in items
            )
            # The pages are not a snapshot: following the topic from the end offset of
            # the first page also covers changes made between the pages.
            if end is None:
                end = StorePosition(era, int(reply["end_offset"]))
            if not reply["has_more"] or not items:
                return StorePage(tuple(records), end)
            query["after"] = items[-1]["key"]

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait: float = 0.0
    ) -> tuple[Done, int]:
        """Return the response to a call, and the era of the store."""
        outcome = await self._client.send(
            self._address, method, target, body, timeout=wait + CALL_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done):
            raise StoreUnavailableError(
                outcome.message
                if isinstance(outcome, RefusedNotRun)
                else outcome.reason,
                may_have_run=not isinstance(outcome, (FailedNotRun, RefusedNotRun)),
            )
        if not self.eras.observe(decode_era(outcome.headers)):
            raise StoreUnavailableError(
                "the response is from before the store was restored", may_have_run=True
            )
        return outcome, self.eras.era


def encode_record(key: str, value: bytes, keyed: bool) -> bytes:
    """Encode a record for an append."""
    content = value
    if keyed:
        name = key.encode("utf-8")
        content = bytes((len(name),)) + name + value
    return RECORD_LENGTH.pack(len(content)) + content


def decode_era(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the era that a response names, None if it names no valid one."""
    for name, value in headers:
        if name == ERA_HEADER and value.isdigit() and len(value) <= MAX_ERA_DIGITS:
            return int(value)
    return None


def decode_records(body: bytes, start: StorePosition, keyed: bool) -> StorePage:
    """Decode the records in the response body of a read."""
    if len(body) < READ_HEADER.size:
        raise StoreUnavailableError(
            f"truncated read: {len(body)} of at least {READ_HEADER.size} bytes",
            may_have_run=False,
        )
    records: list[StoreRecord] = []
    position, offset = READ_HEADER.size, int(start.offset)
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        position += length
        records.append(decode_record(offset, content, keyed, int(start.era)))
        offset += 1
    end, _ = READ_HEADER.unpack_from(body)
    next_position = StorePosition(start.era, offset)
    return StorePage(tuple(records), next_position, at_tip=offset >= end)


def decode_record(offset: int, content: bytes, keyed: bool, era: int) -> StoreRecord:
    """Decode a record; one without a valid key gets an empty key."""
    if not keyed:
        return StoreRecord(offset, "", content, era)
    if not content:
        return StoreRecord(offset, "", b"", era)
    length = content[0]
    name = content[1 : 1 + length].decode("utf-8", "replace")
    return StoreRecord(offset, name, content[1 + length :], era)


def check_status(outcome: Outcome, statuses: tuple[int, ...]) -> None:
    """Raise StoreUnavailableError unless the status is one of the expected ones."""
    if outcome.status in statuses:
        return
    raise StoreUnavailableError(
        f"the store responded with status {outcome.status}",
        # The store responds with 503 and 429 only to calls that had no effect.
        may_have_run=outcome.status not in (429, 503),
    )


def read_json(outcome: Outcome, statuses: tuple[int, ...]) -> dict[str, object]:
    """Return the JSON object in a response with one of the expected statuses."""
    check_status(outcome, statuses)
    try:
        reply = load_json(outcome.body)
    except ValueError as error:
        raise StoreUnavailableError(
            f"the store's response is not JSON: {error}", may_have_run=True
        ) from error
    if not isinstance(reply, dict):
        raise StoreUnavailableError(
            "the store's response is not a JSON object", may_have_run=True
        )
    return reply
