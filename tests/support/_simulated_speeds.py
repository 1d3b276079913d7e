"""Simulation of plain servers of different speed, called by several VMs."""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.fleet import BackendServer
from wisteriagw.placement import ServerView, choose_server, expect_answer
from wisteriagw.speeds import SpeedSample, SpeedTable
from wisteriagw.sums import SumTable

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 4
MEAN_SECONDS = 0.1
LOG_SPREAD = 0.5
OUTLIER_CHANCE = 0.01
OUTLIER_FACTOR = 5.0
VMS = 6
EXCHANGE_SECONDS = 0.1
DELAY_SECONDS = 0.3


class Served(NamedTuple):
    """A request that has ended: its server, arrival and duration."""

    server: str
    at: float
    seconds: float


class SpeedSimulation:
    """Servers with slots and a queue; VMs know each other's state with a delay."""

    def __init__(
        self,
        speeds: dict[str, float],
        load: float,
        estimates: bool,
        seed: int = 1,
        slowdown: Callable[[str, float], float] = lambda name, now: 1.0,
    ) -> None:
        self.served: list[Served] = []
        self.now = 0.0
        self.servers = [
            BackendServer(name, "desk", ("", 0), "north", SLOTS) for name in speeds
        ]
        self.sums = [SumTable() for _ in range(VMS)]
        self.tables = [SpeedTable(sums) for sums in self.sums]
        self._speeds = speeds
        self._estimates = estimates
        self._slowdown = slowdown
        self._source = random.Random(seed)
        self._gap = MEAN_SECONDS / (load * SLOTS * sum(speeds.values()))
        self._open = [dict.fromkeys(speeds, 0) for _ in range(VMS)]
        self._seen = [dict.fromkeys(speeds, 0) for _ in range(VMS)]
        self._running = dict.fromkeys(speeds, 0)
        self._queues = {name: deque() for name in speeds}
        self._sent: deque = deque()
        self._events: list = [(0.0, 0, self._arrive, ()), (0.0, 1, self._exchange, ())]
        self._count = 1

    def run(self, until: float) -> list[Served]:
        """Run to a time and return the requests that have ended."""
        while self._events[0][0] < until:
            self.now, _, handle, arguments = heapq.heappop(self._events)
            handle(*arguments)
        self.now = until
        return self.served

    def _after(self, seconds: float, handle, *arguments) -> None:
        self._count += 1
        event = (self.now + seconds, self._count, handle, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        self._after(self._source.expovariate(1 / self._gap), self._arrive)
        vm = self._source.randrange(VMS)
        known = {}
        if self._estimates:
            known = self.tables[vm].find_speeds("desk", self.servers, self.now)
        views = {}
        for server in self.servers:
            name = server.name
            streams = self._open[vm][name] + self._seen[vm][name]
            views[name] = ServerView(name, "north", "", SLOTS, streams=streams)
            views[name] = views[name]._replace(speed=known.get(name, 1.0))
        plan = choose_server(views.values(), "north", self._source.random)
        self._open[vm][plan.server] += 1
        expected = expect_answer(views[plan.server])
        self._queues[plan.server].append((vm, self.now, expected))
        self._start_next(plan.server)

    def _start_next(self, name: str) -> None:
        while self._queues[name] and self._running[name] < SLOTS:
            job = self._queues[name].popleft()
            self._running[name] += 1
            seconds = MEAN_SECONDS * self._source.lognormvariate(
                -LOG_SPREAD * LOG_SPREAD / 2, LOG_SPREAD
            )
            if self._source.random() < OUTLIER_CHANCE:
                seconds *= OUTLIER_FACTOR
            speed = self._speeds[name] * self._slowdown(name, self.now)
            self._after(seconds / speed, self._end, name, *job)

    def _end(self, name: str, vm: int, at: float, expected: float) -> None:
        self._running[name] -= 1
        self._open[vm][name] -= 1
        seconds = self.now - at
        self.served.append(Served(name, at, seconds))
        server = next(server for server in self.servers if server.name == name)
        sample = SpeedSample(server, "answer", expected, seconds)
        self.tables[vm].record(sample, self.now)
        self._start_next(name)

    def _exchange(self) -> None:
        self._after(EXCHANGE_SECONDS, self._exchange)
        rows = [sums.list_own(self.now) for sums in self.sums]
        work = [dict(open_requests) for open_requests in self._open]
        self._sent.append((rows, work))
        if len(self._sent) * EXCHANGE_SECONDS <= DELAY_SECONDS:
            return
        rows, work = self._sent.popleft()
        for vm in range(VMS):
            others = [other for other in range(VMS) if other != vm]
            for other in others:
                self.sums[vm].apply_peer_rows(f"vm-{other}", rows[other], self.now)
            self._seen[vm] = {
                name: sum(work[other][name] for other in others)
                for name in self._speeds
            }
