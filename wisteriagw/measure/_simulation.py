"""Simulation of a scenario in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy as np

from wisteriagw.dispatch import Dispatcher
from wisteriagw.measure._baseline_dispatcher import BaselineDispatcher
from wisteriagw.measure._event_queue import EventQueue
from wisteriagw.measure._fake_control import FakeControl
from wisteriagw.measure._fake_engine import FakeEngine
from wisteriagw.measure._fake_entry import FakeEntry
from wisteriagw.measure._fake_service import FakeService
from wisteriagw.measure._fault_injection import inject_fault
from wisteriagw.measure._fleet_cost import FleetCost
from wisteriagw.measure._timeline import Timeline
from wisteriagw.measure._workload import build_requests, build_weights
from wisteriagw.routing import BackendView, LoadTable, PeerLoad, RoleProfile

if TYPE_CHECKING:
    from wisteriagw.measure._attempt import Attempt
    from wisteriagw.measure._deployment import Deployment
    from wisteriagw.measure._policy import Policy
    from wisteriagw.measure._request_trace import RequestTrace
    from wisteriagw.measure._scenario import Scenario
    from wisteriagw.routing import CacheEvent

# Profiles as the sheet gives them; the fake engines run at those in ROLE_MODELS.
PROFILES = {
    "prefill": RoleProfile(21_300.0, 16, 24_600.0),
    "decode": RoleProfile(5_300.0, 76, 14_500.0),
    "service": RoleProfile(8_000.0, 8, call_seconds=0.3),
}
REPORT_INTERVAL_SECONDS = 1.0
REPORT_LAG_SECONDS = (1.0, 5.0)
CACHE_EVENT_LAG_SECONDS = (0.2, 2.0)
CACHE_EVENT_LOSS_PROBABILITY = 0.1
HEARTBEAT_INTERVAL_SECONDS = 1.0
VIEW_LAG_SECONDS = (0.1, 1.5)
COMPLETION_SECONDS = 60.0


class Simulation:
    """Connects entry VMs, servers and control; one seeded generator for all draws."""

    def __init__(
        self, scenario: Scenario, policy: Policy, deployment: Deployment, seed: int
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.deployment = deployment
        self.rng = np.random.default_rng(seed)
        self.events = EventQueue()
        self.servers: dict[str, Any] = {}
        self.traces: list[RequestTrace] = []
        self.fleet_cost = FleetCost()
        self.lost_reports: set[str] = set()
        self.removed_servers: set[str] = set()
        self.partitions: dict[str, float] = {}
        self.extra_report_lag = 0.0
        self.reclaimable_unavailable_until: dict[str, float] = {}
        self.reclaimable_work = self.repeatable_work = 0.0
        self.timeline = Timeline()
        self._build_servers()
        self.entries = [self._build_entry(index) for index in range(deployment.entries)]
        self.control = FakeControl(self)
        for at, fault in scenario.faults:
            self.events.add(at, inject_fault, fault, self)

    def run(self) -> None:
        """Run the scenario to its end."""
        length = sum(phase.seconds for phase in self.scenario.phases)
        self.offered_requests = build_requests(
            self.scenario.phases, self.deployment, self.rng
        )
        for request in self.offered_requests:
            self.events.add(
                request.at, self.entries[request.entry].handle_arrival, request
            )
        self.events.add(HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeats)
        self.events.run(length)
        self.fleet_cost.close(length)
        self.control.stopped = True
        self.events.run(length + COMPLETION_SECONDS)

    def add_server(self, server: Any) -> None:
        """Add a server to the simulation and start its load reports."""
        server.events = self.events
        if isinstance(server, FakeEngine):
            server.publish = self._publish
        self.servers[server.name] = server
        self.events.add(float(self.rng.random()), self._report, server)

    def send_view(self, server: Any) -> None:
        """Send the server's state to each entry VM, each with its own delay."""
        view = self.build_view(server)
        for entry in getattr(self, "entries", ()):
            delay = float(self.rng.uniform(*VIEW_LAG_SECONDS))
            self.events.add(delay, self._apply_view, entry, view)

    def build_view(self, server: Any) -> BackendView:
        """Return the view of a server that entry VMs receive."""
        return BackendView(
            name=server.name,
            data_centre=server.data_centre,
            serves=server.serves,
            role=server.role,
            reclaimable=server.reclaimable,
            leaving=server.leaving or not server.up,
        )

    def get_latency(self, entry: FakeEntry, server: Any) -> float:
        """Return the one-way latency in seconds."""
        if entry.data_centre == server.data_centre:
            return 0.0002
        return self.deployment.data_centre_latency_seconds

    def record_work(self, attempt: Attempt, tokens: int) -> None:
        """Add repeatable work, and the part of it that ran on reclaimable servers."""
        request = attempt.trace.request
        server = attempt.server
        if server is None or not request.repeatable:
            return
        work = (
            request.service_seconds
            if request.serves == "service"
            else 0.000_25 * tokens
        )
        if request.serves == "model" and tokens:
            cached = attempt.cached_blocks * 1000
            work += max(0, attempt.prompt_tokens - cached) / 32_000
        self.repeatable_work += work
        self.reclaimable_work += work if server.reclaimable else 0.0

    def _build_servers(self) -> None:
        # At most one reclaimable engine and one reclaimable service in a data centre.
        count = self.deployment.workers
        for index in range(count):
            role = "prefill" if index < max(1, round(count / 3)) else "decode"
            data_centre = f"dc{index % self.deployment.data_centres + 1}"
            reclaimable = index % self.deployment.data_centres in (1, 2) and index < 4
            engine = FakeEngine(
                f"engine-{index}", data_centre, role, reclaimable=reclaimable
            )
            self.add_server(engine)
        for index in range(self.deployment.service_workers):
            data_centre = f"dc{index % self.deployment.data_centres + 1}"
            service = FakeService(
                f"service-{index}", data_centre, reclaimable=index % 4 > 1
            )
            self.add_server(service)
        for server in self.servers.values():
            self.fleet_cost.start_billing(server, 0.0)

    def _build_entry(self, index: int) -> FakeEntry:
        data_centre = f"dc{index % self.deployment.data_centres + 1}"
        table = LoadTable(PROFILES)
        table.set_servers(self.build_view(server) for server in self.servers.values())
        if self.policy.baseline:
            dispatcher: Any = BaselineDispatcher(table, self.policy.baseline)
        else:
            rng = np.random.default_rng(index)
            dispatcher = Dispatcher(
                table,
                build_weights(self.deployment),
                lambda bound: int(rng.integers(bound)),
                self.policy.limits,
            )
        return FakeEntry(self, data_centre, dispatcher)

    def _apply_view(self, entry: FakeEntry, view: BackendView) -> None:
        table = entry.dispatcher.table
        if view.name in self.removed_servers:
            table.remove_server(view.name)
            return
        if view == self.build_view(self.servers[view.name]):
            table.replace_view(view)

    def _report(self, server: Any) -> None:
        self.events.add(REPORT_INTERVAL_SECONDS, self._report, server)
        if not server.up or server.name in self.lost_reports:
            return
        report = server.build_report()
        for entry in self.entries:
            lag = float(self.rng.uniform(*REPORT_LAG_SECONDS)) + self.extra_report_lag
            self.events.add(lag, entry.dispatcher.table.apply_report, report)

    def _publish(self, event: CacheEvent) -> None:
        lags = self.rng.uniform(*CACHE_EVENT_LAG_SECONDS, len(self.entries))
        losses = self.rng.random(len(self.entries))
        for entry, lag, loss in zip(self.entries, lags, losses, strict=True):
            if loss >= CACHE_EVENT_LOSS_PROBABILITY:
                self.events.add(float(lag), entry.dispatcher.index.apply, event)

    def _is_partitioned(self, entry: FakeEntry, other: FakeEntry) -> bool:
        if entry.data_centre == other.data_centre:
            return False
        return any(
            self.partitions.get(data_centre, 0.0) > self.events.now
            for data_centre in (entry.data_centre, other.data_centre)
        )

    def _send_heartbeats(self) -> None:
        self.events.add(HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeats)
        for index, entry in enumerate(self.entries):
            peer = PeerLoad(str(index), entry.dispatcher.table.list_own_load())
            served = entry.dispatcher.pop_served_work()
            self.control.record_demand(entry.dispatcher.pop_demand())
            for other in self.entries:
                if other is not entry and not self._is_partitioned(entry, other):
                    delay = self.deployment.data_centre_latency_seconds
                    self.events.add(delay, other.handle_heartbeat, served, peer)
        self.timeline.sample(self)
