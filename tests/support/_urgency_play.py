"""Play in virtual time: VMs whose requests overload engines that queue by rank."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import NamedTuple

from tests.support._gateway_fixture import TABLE, GatewayFixture, build_route
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.routes import Customer, index_routes

STEP_SECONDS = 0.02
UPDATE_SECONDS = 0.1
UPDATE_DELAY_SECONDS = 0.3
FIRST_EVENT_SECONDS = 0.06
TOKENS_PER_SECOND = 30_000.0
SLOTS = 8
# Callers give up a stream after this long without an event.
PATIENCE_SECONDS = 2.0
TIMEOUT_SECONDS = 8.0
EVENT = b"id: 1\ndata: x\n\n"


class Load(NamedTuple):
    """Requests of the play; ``kinds`` maps a route to its part of the capacity."""

    tokens: int
    stream_seconds: float
    capacity: float
    kinds: dict[str, float]
    prefill_engines: int = 0
    target_seconds: float = 0.5
    overload_seconds: float = 4.0


class Job:
    """A request at an engine."""

    def __init__(self, sent, number: int) -> None:
        headers = sent.headers
        self.sent = sent
        self.order = (int(headers[b"x-wisteriagw-request-priority"]), number)
        has_cache = b"x-wisteriagw-kv-source" in headers
        tokens = headers[b"x-wisteriagw-token-count"].split(b",")[0]
        self.tokens = 0.0 if has_cache else float(tokens)
        self.ready_at = self.ends_at = None


class PlayEngine:
    """Admits the request of the lowest rank first; nothing that runs is interrupted."""

    def __init__(self, stage: str, stream_seconds: float) -> None:
        self.stage = stage
        self.rate = TOKENS_PER_SECOND * (1.0 if stage == "prefill" else 0.5)
        self.stream_seconds = stream_seconds
        self.waiting: list[Job] = []
        self.running: list[Job] = []

    def step(self, now: float) -> None:
        """Work for one step of the play."""
        self.waiting = [job for job in self.waiting if not job.sent.aborted]
        self.running = [job for job in self.running if not job.sent.aborted]
        self.waiting.sort(key=lambda job: job.order)
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.pop(0))
        budget = self.rate * STEP_SECONDS
        for job in sorted(self.running, key=lambda job: job.order):
            used = min(budget, job.tokens)
            job.tokens -= used
            budget -= used
            if job.tokens <= 0 and job.ready_at is None:
                job.ready_at = now + FIRST_EVENT_SECONDS
        for job in list(self.running):
            self._advance(job, now)

    def _advance(self, job: Job, now: float) -> None:
        if job.ready_at is None or now < job.ready_at:
            return
        if self.stage == "prefill":
            self.running.remove(job)
            job.sent.reply(200, b'{"kv_handle": "h", "tokens": 1, "version": 1}')
        elif job.ends_at is None:
            job.ends_at = now + self.stream_seconds
            job.sent.start(200, content_type="text/event-stream")
            job.sent.response.handle_part(EVENT)
        elif now >= job.ends_at:
            self.running.remove(job)
            job.sent.response.handle_end()


class Call:
    """A caller's request, which returns once after a refusal or its patience."""

    def __init__(self, route: str, number: int, at: float) -> None:
        self.route, self.number, self.at = route, number, at
        self.tried_at = at
        self.due: float | None = at
        self.returned = False
        self.refusal_seconds: list[float] = []
        self.waits: list[float] = []
        self.first_event: float | None = None
        self.responder = None


class UrgencyPlay:
    """Several VMs, with the real gateway code, and the engines that they share."""

    def __init__(
        self, load: Load, vms: int = 4, overtaking: bool = True, seed: int = 7
    ) -> None:
        self.load = load
        # Arrivals don't depend on how often the decisions draw.
        self.random = random.Random(seed)
        self.draws = random.Random(seed + 1)
        self.engines: dict[tuple, PlayEngine] = {}
        self.gateways = [self._build(overtaking) for _ in range(vms)]
        self.calls: list[Call] = []
        self.lines: list[tuple[str, dict]] = []
        self._updates: list[tuple[float, int, list]] = []
        self._jobs = 0

    def run(self, seconds: float = 16.0) -> None:
        """Play half of the capacity, the overload after 4 s, then nothing."""
        now = 0.0
        updated = -1.0
        while now < seconds:
            now = round(now + STEP_SECONDS, 6)
            self._arrive(now)
            for call in self.calls:
                self._step_call(call, now)
            self._collect(now)
            for engine in self.engines.values():
                engine.step(now)
            if now - updated >= UPDATE_SECONDS:
                updated = now
                self._exchange(now)
            for gateway in self.gateways:
                gateway.clock.advance(STEP_SECONDS)
                gateway.confirm()

    def list_calls(self, route: str) -> list[Call]:
        """Return the calls of a route that came during the overload."""
        end = 4.0 + self.load.overload_seconds
        return [c for c in self.calls if c.route == route and 4.0 <= c.at < end]

    def count_in_time(self, route: str) -> int:
        """Return how many calls had their first event within the target."""
        target = self.load.target_seconds
        found = [call.first_event for call in self.list_calls(route)]
        return sum(wait is not None and wait <= target for wait in found)

    def count_served(self, route: str) -> int:
        """Return how many calls had an event at all."""
        return sum(call.first_event is not None for call in self.list_calls(route))

    def _build(self, overtaking: bool) -> GatewayFixture:
        load = self.load
        gateway = GatewayFixture()
        servers = gateway.fleet.fleet.servers
        servers.clear()
        for number in range(6 + self.load.prefill_engines):
            stage = "decode" if number < 6 else "prefill"
            gateway.add_server(f"lm-{number}", "lm", number, stage=stage)
            address = servers[f"lm-{number}"].address
            engine = PlayEngine(stage, self.load.stream_seconds)
            self.engines.setdefault(address, engine)
        routes = [
            build_route(
                name,
                "lm",
                streaming=True,
                priority=rank,
                target_seconds=load.target_seconds,
            )
            for name, rank in (("urgent", 0), ("other", 5))
        ]
        gateway.configuration.table = TABLE._replace(
            routes=index_routes(routes), customers={"k1": Customer("t-1")}
        )
        context = gateway.context._replace(draw=self.draws.random)
        if not overtaking:
            ranks = SimpleNamespace(is_urgent=lambda *_: False)
            context = context._replace(urgent_ranks=ranks)
        context.log.write = lambda kind, **values: self.lines.append((kind, values))
        gateway.context = context
        gateway.handler = RequestHandler(context)
        return gateway

    def _arrive(self, now: float) -> None:
        end = 4.0 + self.load.overload_seconds
        for route, part in self.load.kinds.items():
            rate = part * self.load.capacity
            if now < 4.0:
                rate *= 0.5 / sum(self.load.kinds.values())
            elif now >= end:
                continue
            wait = self.random.expovariate(rate)
            while wait < STEP_SECONDS:
                self.calls.append(Call(route, len(self.calls), now))
                wait += self.random.expovariate(rate)

    def _step_call(self, call: Call, now: float) -> None:
        responder = call.responder
        if call.due is not None and now >= call.due:
            call.due, call.tried_at = None, now
            call.responder = self._send(call, now)
            return
        if responder is None or call.first_event is not None:
            return
        if responder.body and responder.status == 200:
            call.first_event = now - call.at
            return
        left = TIMEOUT_SECONDS - (now - call.at)
        if responder.status:
            call.refusal_seconds.append(now - call.tried_at)
            wait = float(responder.headers.get(b"retry-after", b"0"))
            call.waits.append(wait / left)
            self._return(call, now + wait, wait <= left / 3 + 0.01)
        elif now - call.tried_at > PATIENCE_SECONDS:
            responder.on_disconnect()
            self._return(call, now, True)

    def _return(self, call: Call, at: float, honoured: bool) -> None:
        call.responder = None
        if honoured and not call.returned:
            call.returned, call.due = True, at

    def _send(self, call: Call, now: float):
        gateway = self.gateways[self.draws.randrange(len(self.gateways))]
        left = round((TIMEOUT_SECONDS - (now - call.at)) * 1000)
        return gateway.request(
            call.route,
            deadline=(b"x-wisteriagw-deadline-ms", b"%d" % left),
            prompt=f"{self.load.tokens},50",
            parts=f"own-{call.number}:{self.load.tokens}",
        )

    def _collect(self, now: float) -> None:
        for gateway in self.gateways:
            sent, gateway.pool.sent = gateway.pool.sent, []
            for request in sent:
                if request.request.method == b"DELETE":
                    request.reply(204)
                    continue
                self._jobs += 1
                self.engines[request.address].waiting.append(Job(request, self._jobs))

    def _exchange(self, now: float) -> None:
        for index, gateway in enumerate(self.gateways):
            rows = gateway.work.list_own_work()
            self._updates.append((now + UPDATE_DELAY_SECONDS, index, rows))
        while self._updates and self._updates[0][0] <= now:
            _, index, rows = self._updates.pop(0)
            for other, gateway in enumerate(self.gateways):
                if other != index:
                    at = gateway.clock.seconds()
                    gateway.work.apply_peer_work(f"vm-{index}", rows, at)
