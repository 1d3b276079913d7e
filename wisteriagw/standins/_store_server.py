"""HTTP interface of the store stand-in, as the platform speaks it."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from wisteriagw.standins._topic_store import TopicStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import HttpRequest, Responder

LENGTH = struct.Struct(">I")
KEYED_PREFIX = "keyed."
JSON_HEADERS = ((b"content-type", b"application/json"),)


class StoreServer:
    """Serves appends, reads that wait for records, and the newest records.

    Attributes
    ----------
    topics : TopicStore
        What is stored; its ``lose_answers`` takes effect here too.
    down : bool
        Whether connections are closed without an effect.
    """

    def __init__(self, reactor: Any) -> None:
        self.topics = TopicStore()
        self.down = False
        self._reactor = reactor
        self._waiting: list[tuple[str, Callable[[], None]]] = []

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a call."""
        if self.down:
            responder.abort()
            return
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
        """Append a record as the operator or a backend server does."""
        self.topics.put(topic, key, value)
        self._wake(topic)

    def _append(self, values: dict, body: bytes, responder: Responder) -> None:
        topic = values["topic"]
        end = self.topics.get_end(topic)
        if "at" in values and int(values["at"]) != end:
            reply = json.dumps({"end_offset": end}).encode()
            responder.reply(412, JSON_HEADERS, reply)
            return
        for key, value in split_records(body, topic.startswith(KEYED_PREFIX)):
            self.topics.put(topic, key, value)
        self._wake(topic)
        if self.topics.lose_answers:
            self.topics.lose_answers -= 1
            responder.abort()
            return
        reply = {"offset": end, "end_offset": self.topics.get_end(topic)}
        responder.reply(200, JSON_HEADERS, json.dumps(reply).encode())

    def _read(self, values: dict, responder: Responder, wait: float) -> None:
        topic, start = values["topic"], int(values["from"])
        records = self.topics.list_records(topic, start)
        if not records and wait > 0:
            self._wait(topic, values, responder, wait)
            return
        keyed = topic.startswith(KEYED_PREFIX)
        body = struct.pack(">QQ", self.topics.get_end(topic), 0)
        body += b"".join(join_record(r.key, r.value, keyed) for r in records)
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

    def _wake(self, topic: str) -> None:
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


def split_records(body: bytes, keyed: bool) -> list[tuple[str, bytes]]:
    """Return key and value of the records in the body of an append."""
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


def join_record(key: str, value: bytes, keyed: bool) -> bytes:
    """Return a record as a read gives it."""
    content = bytes((len(key),)) + key.encode() + value if keyed else value
    return LENGTH.pack(len(content)) + content
