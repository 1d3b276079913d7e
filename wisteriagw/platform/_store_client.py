"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from wisteriagw.outcomes import Done, FailedNotRun, RefusedNotRun
from wisteriagw.platform._append_conflict import AppendConflictError
from wisteriagw.platform._store_page import StorePage
from wisteriagw.platform._store_record import StoreRecord
from wisteriagw.platform._store_unavailable import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.outcomes import Outcome

KEYED_PREFIX = "keyed."
LENGTH = struct.Struct(">I")
BOUNDS = struct.Struct(">QQ")
# A store under usual load answers in some milliseconds; what takes a second is lost.
CALL_TIMEOUT_SECONDS = 1.0


class StoreClient:
    """Access to the store's topics.

    Parameters
    ----------
    client : CallClient
        Sends calls and gives their outcomes.
    address : tuple of str and int
        Address of the store.
    """

    def __init__(self, client: Any, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address

    async def append(
        self,
        topic: str,
        records: Iterable[tuple[str, bytes]],
        expected_end: int | None = None,
    ) -> int:
        """Append records of key and value, all or none; return the first's offset.

        Fails with AppendConflictError if the topic does not end at ``expected_end``.
        """
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        keyed = topic.startswith(KEYED_PREFIX)
        body = b"".join(encode_record(key, value, keyed) for key, value in records)
        outcome = await self._call("POST", f"/log-append?{urlencode(query)}", body)
        reply = read_json(outcome, (200, 412))
        if outcome.status == 412:
            raise AppendConflictError(int(reply["end_offset"]))
        return int(reply["offset"])

    async def read(self, topic: str, start: int, wait: float = 0.0) -> StorePage:
        """Read records from an offset on, waiting up to some seconds for the first."""
        query = urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": start,
                "max_wait_ms": int(wait * 1000),
            }
        )
        outcome = await self._call("GET", f"/log-read?{query}", wait=wait)
        if outcome.status == 410:
            first = int(read_json(outcome, (410,))["first_offset"])
            return StorePage((), first, complete=False)
        check_status(outcome, (200,))
        return decode_records(outcome.body, start, topic.startswith(KEYED_PREFIX))

    async def read_newest(self, topic: str) -> StorePage:
        """Read the newest record of each key."""
        records: list[StoreRecord] = []
        query: dict[str, Any] = {"topic": topic, "part": 0}
        end = -1
        while True:
            outcome = await self._call("GET", f"/log-newest?{urlencode(query)}")
            reply = read_json(outcome, (200,))
            items = reply["items"]
            records.extend(
                StoreRecord(
                    item["offset"], item["key"], base64.b64decode(item["value"] or "")
                )
                for item in items
            )
            # Pages are not a snapshot, so what changed since the first one is read
            # again from its end.
            if end < 0:
                end = int(reply["end_offset"])
            if not reply["has_more"] or not items:
                return StorePage(tuple(records), end)
            query["after"] = items[-1]["key"]

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait: float = 0.0
    ) -> Done:
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
        return outcome


def encode_record(key: str, value: bytes, keyed: bool) -> bytes:
    """Return a record as it is appended."""
    content = value
    if keyed:
        name = key.encode("utf-8")
        content = bytes((len(name),)) + name + value
    return LENGTH.pack(len(content)) + content


def decode_records(body: bytes, start: int, keyed: bool) -> StorePage:
    """Return the records in the body of a read."""
    if len(body) < BOUNDS.size:
        raise StoreUnavailableError("the read has no bounds", may_have_run=False)
    records: list[StoreRecord] = []
    position, offset = BOUNDS.size, start
    while position + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        position += length
        records.append(decode_record(offset, content, keyed))
        offset += 1
    end, _ = BOUNDS.unpack_from(body)
    return StorePage(tuple(records), offset, at_tip=offset >= end)


def decode_record(offset: int, content: bytes, keyed: bool) -> StoreRecord:
    """Return a record; one without a readable key has an empty key."""
    if not keyed:
        return StoreRecord(offset, "", content)
    if not content:
        return StoreRecord(offset, "", b"")
    length = content[0]
    name = content[1 : 1 + length].decode("utf-8", "replace")
    return StoreRecord(offset, name, content[1 + length :])


def check_status(outcome: Outcome, statuses: tuple[int, ...]) -> None:
    """Fail unless the store answered with one of some statuses."""
    if outcome.status in statuses:
        return
    raise StoreUnavailableError(
        f"the store answered with status {outcome.status}",
        # The store says 503 and 429 only of calls that had no effect.
        may_have_run=outcome.status not in (429, 503),
    )


def read_json(outcome: Outcome, statuses: tuple[int, ...]) -> dict[str, object]:
    """Return the object in an answer with one of some statuses."""
    check_status(outcome, statuses)
    try:
        reply = json.loads(outcome.body)
    except ValueError as error:
        raise StoreUnavailableError(
            f"the store's answer is not JSON: {error}", may_have_run=True
        ) from error
    if not isinstance(reply, dict):
        raise StoreUnavailableError("the answer is not an object", may_have_run=True)
    return reply
