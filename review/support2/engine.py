"""Stand-in for a model engine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from review.support2.http import (
    Request,
    encode_response,
    read_request,
    reset_connection,
)

if TYPE_CHECKING:
    from review.support2.store import Store

CHECK_IN_SECONDS = 1.2
FIRST_EVENT_SECONDS = 0.06
PREFILL_SECONDS = 0.03
# ``kv_ttl_s`` of the configuration.
HANDLE_SECONDS = 5.0
# ``stage_switch_s`` of the configuration.
STAGE_SWITCH_SECONDS = 3.0
# Interval at which a run looks whether its channel was closed or it was stopped.
LOOK_SECONDS = 0.05
NOT_EXECUTED = ("X-Wisteriagw-Not-Executed", "1")
JSON_TYPE = ("Content-Type", "application/json")


class Terms(NamedTuple):
    """Size and speed of an engine.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    max_conns : int
        Channels from all callers combined.
    long_queue, busy_conns : int
        Requests that wait for a slot from which on its queue is long, and its channels
        while it is.
    event_seconds : float
        Pause between two events of a stream.
    events : int
        Events of a stream.
    """

    slots: int
    max_conns: int
    long_queue: int
    busy_conns: int
    event_seconds: float
    events: int


class Work:
    """A run of a request at an engine.

    Attributes
    ----------
    first_event : int
        First event that the run makes.
    made_at : list of float
        Times of its events.
    ended_at : float
        Time at which the engine ended it.
    ended : str
        How it ended.
    """

    def __init__(self, engine: str, request_id: str, first_event: int) -> None:
        self.engine = engine
        self.request_id = request_id
        self.first_event = first_event
        self.started_at = time.monotonic()
        self.made_at: list[float] = []
        self.ended_at = float("inf")
        self.ended = ""
        self.stopped = False


class Engine:
    """Runs streams, keeps copies of those of other engines, and stops runs.

    Attributes
    ----------
    drops : bool
        Whether it drops a request when its channel closes, as most engines do.
    pace : float
        How many times as long each event takes.
    resets : list of float
        Times of the channels that were reset beyond the limit.
    orders : list
        Times of the orders that were accepted, and the stages.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        stage: str,
        zone: str,
        terms: Terms,
        engines: dict[str, Engine],
        works: list[Work],
    ) -> None:
        self.name = name
        self.stage = stage
        self.drops = True
        self.pace = 1.0
        self.resets: list[float] = []
        self.orders: list[tuple[float, str]] = []
        self._zone = zone
        self._store = store
        self._terms = terms
        self._engines = engines
        self._works = works
        self._born = int(time.time() * 1000)
        self._open = 0
        self._busy = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._running: dict[str, Work] = {}
        self._copies: set[str] = set()
        # Handles of prefilled prompts, with the times at which they lapse.
        self._handles: dict[str, float] = {}
        self._prefills = 0
        self._changing = False
        self._seq = 0

    async def start(self, host: str) -> None:
        """Listen for requests on a free port and check in."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._engines[self.address] = self
        self._checking_in = asyncio.create_task(self._check_in())

    def keep_copy(self, request_id: str) -> None:
        """Keep the memory of a run at another engine."""
        self._copies.add(request_id)

    def drop_copy(self, request_id: str) -> None:
        """Free the copy of a run that has ended successfully."""
        self._copies.discard(request_id)

    async def _check_in(self) -> None:
        while True:
            fields = {
                "service": "lm",
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._terms.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "loras": []}],
                "busy": self._changing,
                "seq": self._seq,
                "born": self._born,
            }
            self._store.put("keyed.servers", self.name, json.dumps(fields).encode())
            await asyncio.sleep(CHECK_IN_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue_is_long = len(self._waiting) >= self._terms.long_queue
        limit = self._terms.busy_conns if queue_is_long else self._terms.max_conns
        if self._open >= limit:
            self.resets.append(time.monotonic())
            reset_connection(writer)
            return
        self._open += 1
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open -= 1
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = request.headers
        request_id = headers.get("x-wisteriagw-request-id", "")
        echoed = (("X-Wisteriagw-Request-Id", request_id),)
        if headers.get("x-wisteriagw-expect-instance", self.name) != self.name:
            writer.write(encode_response(421, b"", echoed))
        elif request.target == "/kv-move":
            status, body = self._move(json.loads(request.body))
            writer.write(encode_response(status, body, (JSON_TYPE,)))
        elif request.target.startswith("/kv-handle/"):
            self._handles.pop(request.target.rpartition("/")[2], None)
            writer.write(encode_response(200))
        elif request.target == "/order":
            status = self._order(json.loads(request.body))
            writer.write(encode_response(status, b"{}", (JSON_TYPE,)))
        elif "x-wisteriagw-model" not in headers:
            writer.write(encode_response(404))
        elif self._changing:
            writer.write(encode_response(503, b"", (*echoed, NOT_EXECUTED)))
        elif headers.get("x-wisteriagw-stage") == "prefill":
            await asyncio.sleep(PREFILL_SECONDS)
            self._prefills += 1
            handle = f"{self.name}-{self._prefills}"
            self._handles[handle] = time.monotonic() + HANDLE_SECONDS
            fields = {"kv_handle": handle, "tokens": 383, "version": 1}
            body = json.dumps(fields).encode()
            writer.write(encode_response(200, body, (*echoed, JSON_TYPE)))
        elif self.stage == "prefill":
            writer.write(encode_response(421, b"", echoed))
        else:
            await self._run(request, request_id, writer)
        await writer.drain()

    def _order(self, fields: dict) -> int:
        """Change the stage; running work ends first."""
        if not fields.get("owner") or not isinstance(fields.get("fence_token"), int):
            return 400
        if fields.get("op") != "stage":
            return 400
        if self._changing:
            return 409
        if fields["stage"] == self.stage:
            return 200
        self._changing = True
        self.orders.append((time.monotonic(), fields["stage"]))
        self._change = asyncio.create_task(self._change_stage(fields["stage"]))
        return 202

    async def _change_stage(self, stage: str) -> None:
        while self._running:
            await asyncio.sleep(LOOK_SECONDS)
        await asyncio.sleep(STAGE_SWITCH_SECONDS)
        self.stage, self._changing = stage, False
        self._seq += 1

    def _move(self, fields: dict) -> tuple[int, bytes]:
        work = self._running.get(fields["id"])
        if work is None:
            return 404, b"{}"
        work.stopped = work.stopped or bool(fields.get("final"))
        self._engines[fields["to"]].keep_copy(work.request_id)
        created = work.first_event - 1 + len(work.made_at)
        reply = {"kv_handle": work.request_id, "created": created}
        return 200, json.dumps(reply).encode()

    def _take_source(self, source: str) -> bool:
        """Return whether the memory that a request names can be had."""
        address, _, handle = source.partition("/")
        if handle in self._copies:
            self._copies.discard(handle)
            return True
        other = self._engines.get(address)
        if other is None:
            return False
        return time.monotonic() < other._handles.pop(handle, 0.0)

    async def _run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        echoed = (("X-Wisteriagw-Request-Id", request_id),)
        source = headers.get("x-wisteriagw-kv-source")
        if source is not None and not self._take_source(source):
            writer.write(encode_response(503, b"", (*echoed, NOT_EXECUTED)))
            return
        last_event = int(headers.get("last-event-id", "0"))
        await self._take_slot(first=source is not None)
        work = Work(self.name, request_id, last_event + 1)
        task = asyncio.create_task(self._work(work, headers, writer))
        with contextlib.suppress(ConnectionError):
            await asyncio.shield(task)

    async def _take_slot(self, first: bool) -> None:
        """Wait for a slot; a request that goes on from a memory is admitted first."""
        if self._busy < self._terms.slots:
            self._busy += 1
            return
        waiting = asyncio.get_running_loop().create_future()
        if first:
            self._waiting.appendleft(waiting)
        else:
            self._waiting.append(waiting)
        # The slot of the run that ends passes to this one.
        await waiting

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().set_result(None)
            return
        self._busy -= 1

    async def _work(
        self, work: Work, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        self._works.append(work)
        self._running[work.request_id] = work
        backup = headers.get("x-wisteriagw-kv-backup")
        deadline = time.monotonic() + int(headers["x-wisteriagw-deadline-ms"]) / 1000
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Wisteriagw-Request-Id: {work.request_id}",
            f"X-Wisteriagw-Server-Stamp: {self.name}.{work.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        try:
            await self._pass_time(FIRST_EVENT_SECONDS, work, writer)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(work.first_event, self._terms.events + 1):
                if number > work.first_event:
                    await self._pass_time(self._terms.event_seconds, work, writer)
                if not work.ended and time.monotonic() > deadline:
                    work.ended = "time budget"
                if work.ended:
                    writer.transport.abort()
                    return
                work.made_at.append(time.monotonic())
                event = f"id: {number}\ndata: token-{number}\n\n".encode()
                if not writer.is_closing():
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                if backup is not None:
                    self._engines[backup].keep_copy(work.request_id)
            work.ended = "complete"
            if backup is not None:
                self._engines[backup].drop_copy(work.request_id)
            if not writer.is_closing():
                writer.write(b"0\r\n\r\n")
        finally:
            work.ended_at = time.monotonic()
            self._running.pop(work.request_id, None)
            self._release_slot()

    async def _pass_time(
        self, seconds: float, work: Work, writer: asyncio.StreamWriter
    ) -> None:
        """Work for some seconds at the engine's pace, unless the run ends."""
        until = time.monotonic() + seconds * self.pace
        while (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(left, LOOK_SECONDS))
            if work.stopped:
                work.ended = "stopped"
            elif self.drops and writer.is_closing():
                work.ended = "dropped with its channel"
            if work.ended:
                return


def build_engine_configuration(version: int, terms: Terms, key: str) -> bytes:
    """Return a configuration with a stream that may not run twice."""
    route = {
        "name": "r-stall",
        "host": "desk.example",
        "path_prefix": "/stall/",
        "kind": "stream",
        "timeout_ms": 4000,
        "slo_ms": 600,
        "priority": 0,
        "service": "lm",
        "max_attempts": 1,
        "public": False,
        "sticky": True,
        "can_resume": False,
        "gap_target_ms": 200,
    }
    engine = {
        "slots": terms.slots,
        "kv_capacity": 504494,
        "kv_token_bytes": 18432,
        "link_mbps": 370000.0,
        "migrations": True,
        "replicas": True,
        "stride": 6,
        "most": 12,
        "kv_ttl_s": HANDLE_SECONDS,
        "stage_switch_s": STAGE_SWITCH_SECONDS,
        "pin_ms": 4000.0,
        "max_hold_ms": 2000.0,
        "models": [{"name": "m"}],
    }
    service = {
        "name": "lm",
        "health_path": "/health",
        "max_conns": terms.max_conns,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    fields = {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": [{"name": "t1", "api_keys": [key], "priority": 1}],
    }
    return json.dumps(fields).encode()
