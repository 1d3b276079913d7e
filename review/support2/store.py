"""Stand-ins for the platform's store and its interface for duties."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import time
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from review.support2.http import Request, encode_response, read_request

ANSWER_SECONDS = 0.004
JSON_TYPE = (("Content-Type", "application/json"),)


class Record(NamedTuple):
    """Record of a topic, with its key in keyed topics."""

    key: str
    value: bytes
    content: bytes
    at: float


class Store:
    """Log with keyed topics, as the pages describe it.

    Attributes
    ----------
    era : int or None
        Value of ``Store-Era`` in all answers.
    down : bool
        Whether calls get no answer.
    """

    def __init__(self, era: int | None = None) -> None:
        self.era = era
        self.down = False
        self._topics: dict[str, list[Record]] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str) -> tuple[str, int]:
        """Listen for calls on a free port, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a keyed record, or the removal of a key; return its offset."""
        name = key.encode()
        content = bytes((len(name),)) + name + value
        return self._append(topic, [content])

    def list_newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key that has a value."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self._topics.get(topic, [])):
            newest.pop(record.key, None)
            if record.value:
                newest[record.key] = (offset, record.value)
        return newest

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is some seconds old, in a new era."""
        until = time.monotonic() - seconds
        for topic, records in self._topics.items():
            self._topics[topic] = [r for r in records if r.at <= until]
        self.era = (self.era or 0) + 1
        self._wake()

    def _append(self, topic: str, contents: list[bytes]) -> int:
        records = self._topics.setdefault(topic, [])
        first = len(records)
        for content in contents:
            key, value = "", content
            if topic.startswith("keyed.") and content:
                key = content[1 : 1 + content[0]].decode("utf-8", "replace")
                value = content[1 + content[0] :]
            records.append(Record(key, value, content, time.monotonic()))
        self._wake()
        return first

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await asyncio.sleep(ANSWER_SECONDS)
                if self.down:
                    await asyncio.Event().wait()
                status, body, headers = await self._handle(request)
                if self.down:
                    await asyncio.Event().wait()
                if self.era is not None:
                    headers = (*headers, ("Store-Era", str(self.era)))
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _handle(self, request: Request) -> tuple[int, bytes, tuple]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-append":
            return self._handle_append(query, request.body)
        if parts.path == "/log-read":
            return await self._handle_read(query)
        if parts.path == "/log-newest":
            return self._handle_newest(query)
        return 404, b"{}", JSON_TYPE

    def _handle_append(self, query: dict, body: bytes) -> tuple[int, bytes, tuple]:
        topic = query["topic"]
        end = len(self._topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"end_offset": end}).encode(), JSON_TYPE
        contents, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        first = self._append(topic, contents)
        reply = {"offset": first, "end_offset": first + len(contents)}
        return 200, json.dumps(reply).encode(), JSON_TYPE

    async def _handle_read(self, query: dict) -> tuple[int, bytes, tuple]:
        topic, start = query["topic"], int(query["from"])
        deadline = time.monotonic() + int(query.get("max_wait_ms", "0")) / 1000
        while True:
            records = self._topics.get(topic, [])
            if start > len(records):
                return 410, json.dumps({"first_offset": 0}).encode(), JSON_TYPE
            left = deadline - time.monotonic()
            if start < len(records) or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        body = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            body += struct.pack(">I", len(record.content)) + record.content
        return 200, body, (("Content-Type", "application/octet-stream"),)

    def _handle_newest(self, query: dict) -> tuple[int, bytes, tuple]:
        topic = query["topic"]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in self.list_newest(topic).items()
        ]
        end = len(self._topics.get(topic, []))
        reply = {"items": items, "has_more": False, "end_offset": end}
        return 200, json.dumps(reply).encode(), JSON_TYPE


class Cloud:
    """Interface for usage reports and orders of servers; it accepts every call."""

    async def start(self, host: str) -> tuple[str, int]:
        """Listen for calls on a free port, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_request(reader) is not None:
                await asyncio.sleep(ANSWER_SECONDS)
                writer.write(encode_response(200, b"{}", JSON_TYPE))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()
