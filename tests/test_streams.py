"""Tests of streams from engines to callers."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.trial.unittest import TestCase
from twisted.web.client import ResponseDone

from tests.support import LoopbackFleet, ScriptedEngine
from wisteriagw.backends import StreamPosition
from wisteriagw.entry import _generation_relay
from wisteriagw.entry._event_reader import MAX_EVENT_BYTES, EventReader
from wisteriagw.retries import MAX_LOST_SERVERS

TOKENS = 20
END = {
    "finish_reason": "length",
    "prompt_tokens": 3,
    "cached_tokens": 0,
    "generated_tokens": TOKENS,
}


def token(attempt: str, index: int) -> bytes:
    chunk = {"choices": [{"index": 0, "delta": {"content": f"t{index} "}}]}
    return f"id: {attempt}/{index}\ndata: {json.dumps(chunk)}\n\n".encode()


def tokens(attempt: str, start: int, stop: int) -> bytes:
    return b"".join(token(attempt, index) for index in range(start, stop))


def end(attempt: str, index: int = TOKENS) -> bytes:
    return f"id: {attempt}/{index}\nevent: end\ndata: {json.dumps(END)}\n\n".encode()


def send_rest(attempt: str, start: int) -> bytes:
    return tokens(attempt, start, TOKENS) + end(attempt)


# Data that the engine sends on its first connection before it is lost.
FIRST_CONNECTIONS = {
    "nothing": lambda a, i: b"",
    "cut": lambda a, i: tokens(a, 0, 7),
    "cut inside an event": lambda a, i: tokens(a, 0, 7) + token(a, 7)[:-9],
    "repeated": lambda a, i: tokens(a, 0, 7) + tokens(a, 2, 9),
    "late": lambda a, i: tokens("old", 0, 7) + tokens(a, 0, 5) + end("old"),
    "gap": lambda a, i: tokens(a, 0, 5) + tokens(a, 6, 9),
    "early end": lambda a, i: tokens(a, 0, 5) + end(a),
    "oversized": lambda a, i: tokens(a, 0, 5) + b"id: " + b"9" * MAX_EVENT_BYTES,
    "no id": lambda a, i: tokens(a, 0, 5) + b"data: {}\n\n",
    "bad index": lambda a, i: tokens(a, 0, 5) + f"id: {a}/x\ndata: {{}}\n\n".encode(),
    "bad data": lambda a, i: tokens(a, 0, 5) + f"id: {a}/5\nnonsense\n\n".encode(),
    "bad end": lambda a, i: (
        tokens(a, 0, TOKENS) + f"id: {a}/{TOKENS}\nevent: end\ndata: [1]\n\n".encode()
    ),
    "bytes": lambda a, i: tokens(a, 0, 5) + b"\xff\x00\n\n\n\n\xfe",
}


class RecordingRelay:
    """Records what a reader passes on."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.endings: list[str] = []

    def write_tokens(self, events: list[bytes]) -> None:
        self.events.extend(events)

    def finish(self, end: Any) -> None:
        self.endings.append("finish")

    def handle_loss(self, reason: str) -> None:
        self.endings.append("handle_loss")

    def supersede(self) -> None:
        self.endings.append("supersede")


class TestEventReader:
    """Guards against lost, repeated or stale tokens and a false end of the stream."""

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["own", "own", "own", "old"]),
                st.integers(0, 6),
                st.sampled_from(["token", "token", "token", "end", "garbage"]),
            ),
            max_size=30,
        ),
        st.integers(0, 5),
        st.integers(1, 90),
    )
    def test_any_mix_of_events(self, script, ordered, piece) -> None:
        data = tokens("own", 0, ordered)
        for attempt, index, kind in script:
            if kind == "garbage":
                data += b"id: own/\xff\n\n"
            else:
                data += (token if kind == "token" else end)(attempt, index)
        relay = RecordingRelay()
        reader = EventReader(relay, StreamPosition(b"own", 0))
        reader.makeConnection(StringTransport())
        for start in range(0, len(data), piece):
            reader.dataReceived(data[start : start + piece])
        reader.connectionLost(Failure(ResponseDone()))
        expected = [
            token("own", index).replace(b"own/", b"")
            for index in range(len(relay.events))
        ]
        assert relay.events == expected
        assert len(relay.events) >= ordered
        assert len(relay.endings) == 1
        whole = end("own", len(relay.events)) in data
        assert relay.endings == ["handle_loss"] or whole


class TestStreams(TestCase):
    """Guards against streams that lose or repeat tokens or falsely look complete."""

    def setUp(self) -> None:
        self.fleet = LoopbackFleet(self)

    @inlineCallbacks
    def check_complete(self, address: Any, count: int = TOKENS, **fields: Any) -> Any:
        response, recorder = yield self.fleet.chat(
            address, count, stream=True, **fields
        )
        whole = yield recorder.finished
        self.assertEqual(response.code, 200)
        self.assertEqual(recorder.indexes, list(range(count)))
        self.assertTrue(whole and recorder.data.endswith(b"data: [DONE]\n\n"))
        return recorder

    @inlineCallbacks
    def test_faulty_first_connections(self) -> Any:
        engine = ScriptedEngine(send_rest)
        self.fleet.serve("a", engine)
        (address,) = self.fleet.start_entries(1)
        for name, script in FIRST_CONNECTIONS.items():
            engine.opened.clear()
            engine._scripts[:] = [script, send_rest]
            yield self.check_complete(address)
            self.assertEqual(engine.opened[0], (b"POST", 0), name)
            self.assertEqual(engine.opened[1][0], b"GET", name)

    @inlineCallbacks
    def test_stalled_stream_is_resumed(self) -> Any:
        self.patch(_generation_relay, "STALL_SECONDS", 0.1)
        engine = ScriptedEngine(FIRST_CONNECTIONS["cut"], send_rest)
        engine.keep_first_open = True
        self.fleet.serve("a", engine)
        (address,) = self.fleet.start_entries(1)
        yield self.check_complete(address)
        self.assertEqual(engine.opened, [(b"POST", 0), (b"GET", 7)])

    @inlineCallbacks
    def test_stream_without_progress_ends_with_an_error(self) -> Any:
        self.fleet.serve("a", ScriptedEngine(lambda a, i: b"", lambda a, i: b"x\n\n"))
        (address,) = self.fleet.start_entries(1)
        response, recorder = yield self.fleet.chat(address, TOKENS, stream=True)
        yield recorder.finished
        error = json.loads(recorder.data)["error"]
        self.assertEqual((response.code, error["not_run"]), (502, False))

    @inlineCallbacks
    def test_generation_that_loses_its_engines_does_not_reach_all_of_them(self) -> Any:
        engines = [ScriptedEngine(lambda a, i: b"") for _ in range(5)]
        for name, engine in zip("abcde", engines, strict=True):
            self.fleet.serve(name, engine)
        (address,) = self.fleet.start_entries(1)
        response, recorder = yield self.fleet.chat(address, TOKENS, stream=True)
        yield recorder.finished
        error = json.loads(recorder.data)["error"]
        self.assertEqual((response.code, error["not_run"]), (502, False))
        reached = sum(bool(engine.opened) for engine in engines)
        self.assertEqual(reached, MAX_LOST_SERVERS)

    @inlineCallbacks
    def test_cut_connections_are_resumed_at_the_same_engine(self) -> Any:
        engine = self.fleet.serve_engine("a")
        (address,) = self.fleet.start_entries(1)
        checking = self.check_complete(address, 150)
        for _ in range(3):
            yield deferLater(reactor, 0.08, engine.cut_connections)
        yield checking

    @inlineCallbacks
    def test_crashed_engine_is_continued_elsewhere_only_when_allowed(self) -> Any:
        engines = [self.fleet.serve_engine(name) for name in "ab"]
        (address,) = self.fleet.start_entries(1)
        for allowed in (True, False):
            response, recorder = yield self.fleet.chat(
                address, 150, stream=True, continue_elsewhere=allowed
            )
            yield recorder.wait_for_tokens(10)
            handle = response.headers.getRawHeaders(b"wisteriagw-request")[0]
            engines["ab".index(handle.decode()[0])].crash()
            whole = yield recorder.finished
            indexes = recorder.indexes
            self.assertEqual(indexes, list(range(len(indexes))))
            self.assertEqual(whole, allowed)
            self.assertEqual(len(indexes) == 150, allowed)
            self.assertEqual(b"[DONE]" in recorder.data, allowed)
            self.assertEqual(b"event: moved" in recorder.data, allowed)

    @inlineCallbacks
    def test_engine_gets_the_priority_of_the_customer(self) -> Any:
        engine = self.fleet.serve_engine("a")
        (address,) = self.fleet.start_entries(1)
        _, recorder = yield self.fleet.chat(address, 5)
        yield recorder.finished
        priorities = [found.priority for found in engine.generations.values()]
        self.assertEqual(priorities, [3])

    @inlineCallbacks
    def test_buffered_answer_survives_a_crash(self) -> Any:
        engines = [self.fleet.serve_engine(name) for name in "ab"]
        (address,) = self.fleet.start_entries(1)
        answering = self.fleet.chat(address, 100)
        yield deferLater(reactor, 0.1)
        for engine in engines:
            if engine.generations:
                engine.crash()
                break
        response, recorder = yield answering
        yield recorder.finished
        answer = json.loads(recorder.data)
        self.assertEqual(response.code, 200)
        words = answer["choices"][0]["message"]["content"].split()
        self.assertEqual(
            [word.partition(".")[2] for word in words], [str(i) for i in range(100)]
        )

    @inlineCallbacks
    def test_full_engine_is_skipped_or_refused_as_not_run(self) -> Any:
        full = self.fleet.serve_engine("a", max_waiting=0)
        (address,) = self.fleet.start_entries(1)
        response, recorder = yield self.fleet.chat(address, 5)
        yield recorder.finished
        error = json.loads(recorder.data)["error"]
        self.assertEqual((error["code"], error["not_run"]), ("overloaded", True))
        self.assertEqual(full.generations, {})
        self.fleet.serve_engine("b")
        (address,) = self.fleet.start_entries(1)
        yield self.check_complete(address)

    @inlineCallbacks
    def test_resume_at_another_entry_process_for_the_same_customer_only(self) -> Any:
        self.fleet.serve_engine("a")
        first, second = self.fleet.start_entries(2)
        response, recorder = yield self.fleet.chat(first, 150, stream=True)
        yield recorder.wait_for_tokens(10)
        handle = response.headers.getRawHeaders(b"wisteriagw-request")[0].decode()
        path = f"/v1/requests/{handle}"
        other, refusal = yield self.fleet.open(
            second, "GET", path, authorization="Bearer key-office"
        )
        yield refusal.finished
        self.assertEqual(other.code, 404)
        self.assertFalse(json.loads(refusal.data)["error"]["not_run"])
        last = recorder.indexes[-1]
        _, rest = yield self.fleet.open(
            second, "GET", path, **{"last-event-id": str(last)}
        )
        whole = yield rest.finished
        self.assertTrue(whole)
        self.assertEqual(rest.indexes, list(range(last + 1, 150)))
        # The first response is superseded: it does not look complete and does not take
        # the stream back.
        whole = yield recorder.finished
        self.assertFalse(whole)

    @inlineCallbacks
    def test_generation_is_cancelled_30_s_after_its_caller_disconnects(self) -> Any:
        engine = self.fleet.serve_engine("a")
        (address,) = self.fleet.start_entries(1)
        _, recorder = yield self.fleet.chat(address, 30_000, stream=True)
        yield recorder.wait_for_tokens(5)
        recorder.transport.loseConnection()
        yield deferLater(reactor, 0.1)
        self.assertEqual(len(engine.batch.running), 1)
        waits = [
            call
            for call in reactor.getDelayedCalls()
            if 25 < call.getTime() - reactor.seconds() <= 30
            and call.func.__name__ == "_cancel_and_count"
        ]
        self.assertEqual(len(waits), 1)
        waits[0].reset(0)
        yield deferLater(reactor, 0.1)
        self.assertEqual(engine.batch.running, [])
        self.assertEqual(sum(self.fleet.contexts[0].running.values()), 0)
