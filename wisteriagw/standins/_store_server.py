"""HTTP interface of the store stand-in, in the format of the platform's store."""

from __future__ import annotations

import base64
import bisect
import json
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from wisteriagw.standins._era_responder import EraResponder
from wisteriagw.standins._topic_store import TopicStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import HttpRequest, Responder

LENGTH = struct.Struct(">I")
KEYED_PREFIX = "keyed."
JSON_HEADERS = ((b"content-type", b"application/json"),)


class StoreServer:
    """Serves appends, long-polling reads, and reads of the newest records.

    Attributes
    ----------
    topics : TopicStore
        Stored topics; their ``lost_replies`` closes connections after an append.
    down : bool
        Whether calls are aborted without an effect.
    era : int
        Era that all responses name, None if they name none.
    """

    def __init__(self, reactor: Any) -> None:
        self.topics = TopicStore()
        self.down = False
        self.era: int | None = 1
        self._reactor = reactor
        self._times: dict[str, list[float]] = {}
        self._waiting: list[tuple[str, Callable[[], None]]] = []

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle an HTTP request."""
        if self.down:
            responder.abort()
            return
        responder = EraResponder(responder, self)
        path, _, query = request.target.partition(b"?")
        values = {key: found[0] for key, found in parse_qs(query.decode()).items()}
        if path == b"/log-append":
            self._append(values, request.body, responder)
        elif path == b"/log-read":
            self._read(values, responder, float(values.get("max_wait_ms", 0)) / 1000)
        elif path == b"/log-newest":
            self._read_newest(values["topic"], responder)
        else:
            responder.reply(404)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record without faults and answer the reads that wait for it."""
        self._put(topic, key, value)
        self._wake_readers(topic)

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is some seconds old, in the next era."""
        taken_at = self._reactor.seconds() - seconds
        ends = {
            topic: bisect.bisect_right(times, taken_at)
            for topic, times in self._times.items()
        }
        self.topics.restore(ends)
        for topic, end in ends.items():
            del self._times[topic][end:]
        self.era = None if self.era is None else self.era + 1
        for _, finish in list(self._waiting):
            finish()

    def _put(self, topic: str, key: str, value: bytes) -> None:
        self.topics.put(topic, key, value)
        self._times.setdefault(topic, []).append(self._reactor.seconds())

    def _append(self, values: dict, body: bytes, responder: Responder) -> None:
        topic = values["topic"]
        end = self.topics.get_end(topic)
        if "at" in values and int(values["at"]) != end:
            reply = json.dumps({"end_offset": end}).encode()
            responder.reply(412, JSON_HEADERS, reply)
            return
        for key, value in decode_records(body, topic.startswith(KEYED_PREFIX)):
            self._put(topic, key, value)
        self._wake_readers(topic)
        if self.topics.lost_replies:
            self.topics.lost_replies -= 1
            responder.abort()
            return
        reply = {"offset": end, "end_offset": self.topics.get_end(topic)}
        responder.reply(200, JSON_HEADERS, json.dumps(reply).encode())

    def _read(self, values: dict, responder: Responder, wait: float) -> None:
        topic, start = values["topic"], int(values["from"])
        if start > self.topics.get_end(topic):
            responder.reply(410, JSON_HEADERS, b'{"first_offset": 0}')
            return
        records = self.topics.list_records(topic, start)
        if not records and wait > 0:
            self._wait(topic, values, responder, wait)
            return
        keyed = topic.startswith(KEYED_PREFIX)
        body = struct.pack(">QQ", self.topics.get_end(topic), 0)
        body += b"".join(encode_record(r.key, r.value, keyed) for r in records)
        responder.reply(200, (), body)

    def _wait(
        self, topic: str, values: dict, responder: Responder, wait: float
    ) -> None:
        def finish() -> None:
            if entry in self._waiting:
                self._waiting.remove(entry)
            if timer.active():
                timer.cancel()
            if not responder.ended:
                self._read(values, responder, 0.0)

        timer = self._reactor.callLater(wait, finish)
        entry = (topic, finish)
        self._waiting.append(entry)

    def _wake_readers(self, topic: str) -> None:
        for waiting, finish in list(self._waiting):
            if waiting == topic:
                finish()

    def _read_newest(self, topic: str, responder: Responder) -> None:
        newest = {}
        for record in self.topics.list_records(topic, 0):
            newest[record.key] = record
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in newest.values()
            if record.value
        ]
        reply = {
            "items": items,
            "has_more": False,
            "end_offset": self.topics.get_end(topic),
        }
        responder.reply(200, JSON_HEADERS, json.dumps(reply).encode())


def decode_records(body: bytes, keyed: bool) -> list[tuple[str, bytes]]:
    """Return the key and value of each record in the body of an append."""
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        content = body[position + LENGTH.size : position + LENGTH.size + length]
        position += LENGTH.size + length
        if keyed:
            size = content[0]
            records.append((content[1 : 1 + size].decode(), content[1 + size :]))
        else:
            records.append(("", content))
    return records


def encode_record(key: str, value: bytes, keyed: bool) -> bytes:
    """Return a record in the format of a read response."""
    content = bytes((len(key),)) + key.encode() + value if keyed else value
    return LENGTH.pack(len(content)) + content
