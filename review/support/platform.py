"""Stand-in for the platform: its store, and its interface for duties."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs

from review.support.wire import encode_answer, read_request

if TYPE_CHECKING:
    from review.support.wire import Request

LENGTH = struct.Struct(">I")
JSON = {"Content-Type": "application/json"}
APPEND_SECONDS = 0.004


class Record(NamedTuple):
    """A record of a partition, and when it was accepted (monotonic clock)."""

    content: bytes
    at: float


class DutyCall(NamedTuple):
    """A call that the platform has accepted."""

    path: str
    holder: str
    token: int
    fields: dict[str, Any]
    at: float


class Topic:
    """Partition 0 of a topic; its records expire, the newest of each key does not."""

    def __init__(self, keyed: bool, keep_s: float) -> None:
        self.keyed = keyed
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()
        self._records: list[Record] = []
        self._first = 0
        self._keep_s = keep_s

    @property
    def end(self) -> int:
        """Offset after the newest record."""
        return self._first + len(self._records)

    def find_first(self) -> int:
        """Drop expired records and return the first offset that is kept."""
        oldest = time.monotonic() - self._keep_s
        while self._records and self._records[0].at < oldest:
            del self._records[0]
            self._first += 1
        return self._first

    def forget_history(self) -> None:
        """Drop all records; the newest of each key stay readable."""
        self._first = self.end
        self._records.clear()

    def add(self, content: bytes) -> None:
        """Append a record and wake the reads that wait for one."""
        if self.keyed:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self._records.append(Record(content, time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()

    def list_from(self, offset: int) -> list[bytes]:
        """Return the records from an offset on."""
        return [record.content for record in self._records[offset - self._first :]]


class Platform:
    """Store in the form of a log, and the calls of the holder of a duty.

    Attributes
    ----------
    duty_calls : list of DutyCall
        Accepted calls, in their order.
    """

    def __init__(self, keep_s: float) -> None:
        self.duty_calls: list[DutyCall] = []
        self.address = ("", 0)
        self._keep_s = keep_s
        self._topics: dict[str, Topic] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()

    def put(self, topic: str, key: str, fields: dict[str, Any] | None) -> None:
        """Write a record of the operator or a worker; None removes the key."""
        value = b"" if fields is None else json.dumps(fields).encode()
        self._find(topic).add(bytes((len(key),)) + key.encode() + value)

    def forget_history(self) -> None:
        """Drop the history of all topics."""
        for topic in self._topics.values():
            topic.forget_history()

    def list_usage(self) -> dict[int, list[DutyCall]]:
        """Return the accepted usage reports by window."""
        reports: dict[int, list[DutyCall]] = {}
        for duty in self.duty_calls:
            if duty.path == "/usage":
                reports.setdefault(int(duty.fields["window_id"]), []).append(duty)
        return reports

    def _find(self, name: str) -> Topic:
        if name not in self._topics:
            self._topics[name] = Topic(name.startswith("keyed."), self._keep_s)
        return self._topics[name]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError):
            # The caller has gone.
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> bytes:
        query = {key: found[0] for key, found in parse_qs(request.query).items()}
        if request.path == "/log-append":
            return await self._append(query, request.body)
        if request.path == "/log-read":
            return await self._read(query)
        if request.path == "/log-newest":
            return self._list_newest(query)
        if request.path in ("/usage", "/scale"):
            self.duty_calls.append(
                DutyCall(
                    request.path,
                    request.headers["x-wisteriagw-duty-holder"],
                    int(request.headers["x-wisteriagw-fence-token"]),
                    json.loads(request.body),
                    time.time(),
                )
            )
            return encode_answer(200, b"{}", JSON)
        return encode_answer(404)

    async def _append(self, query: dict[str, str], body: bytes) -> bytes:
        await asyncio.sleep(APPEND_SECONDS)
        topic = self._find(query["topic"])
        if "at" in query and int(query["at"]) != topic.end:
            reply = {"end_offset": topic.end}
            return encode_answer(412, json.dumps(reply).encode(), JSON)
        offset, position = topic.end, 0
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size + size
            topic.add(body[position - size : position])
        reply = {"offset": offset, "end_offset": topic.end}
        return encode_answer(200, json.dumps(reply).encode(), JSON)

    async def _read(self, query: dict[str, str]) -> bytes:
        topic, start = self._find(query["topic"]), int(query["from"])
        deadline = time.monotonic() + float(query.get("max_wait_ms", 0)) / 1000
        while topic.end == start and time.monotonic() < deadline:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await topic.changed.wait()
            except TimeoutError:
                break
        first = topic.find_first()
        if not first <= start <= topic.end:
            reply = {"first_offset": first}
            return encode_answer(410, json.dumps(reply).encode(), JSON)
        body = struct.pack(">QQ", topic.end, first)
        for content in topic.list_from(start):
            body += LENGTH.pack(len(content)) + content
        return encode_answer(200, body)

    def _list_newest(self, query: dict[str, str]) -> bytes:
        topic = self._find(query["topic"])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in topic.newest.items()
        ]
        reply = {"items": items, "has_more": False, "end_offset": topic.end}
        return encode_answer(200, json.dumps(reply).encode(), JSON)
