"""Virtual run of a scenario."""

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
from wisteriagw.measure._faulting import inject_fault
from wisteriagw.measure._fleet_account import FleetAccount
from wisteriagw.measure._timeline import Timeline
from wisteriagw.measure._workload import build_offers, build_weights
from wisteriagw.routing import BackendView, LoadTable, PeerLoad, RoleProfile

if TYPE_CHECKING:
    from wisteriagw.measure._answer import Answer
    from wisteriagw.measure._attempt import Attempt
    from wisteriagw.measure._deployment import Deployment
    from wisteriagw.measure._policy import Policy
    from wisteriagw.measure._scenario import Scenario
    from wisteriagw.routing import CacheEvent

# What the sheet says of the engines; the fakes' own figures are in ROLE_MODELS.
PROFILES = {
    "prefill": RoleProfile(21_300.0, 16, 24_600.0),
    "decode": RoleProfile(5_300.0, 76, 14_500.0),
    "service": RoleProfile(8_000.0, 8, call_seconds=0.3),
}
REPORT_SECONDS = 1.0
REPORT_LAG = (1.0, 5.0)
CACHE_EVENT_LAG = (0.2, 2.0)
CACHE_EVENT_LOSS = 0.1
HEARTBEAT_SECONDS = 1.0
NOTICE_LAG = (0.1, 1.5)
DRAIN_AFTER_SECONDS = 60.0


class Simulation:
    """The fakes, connected; the random numbers come from one seeded generator."""

    def __init__(
        self, scenario: Scenario, policy: Policy, deployment: Deployment, seed: int
    ) -> None:
        self.scenario = scenario
        self.policy = policy
        self.deployment = deployment
        self.rng = np.random.default_rng(seed)
        self.events = EventQueue()
        self.servers: dict[str, Any] = {}
        self.answers: list[Answer] = []
        self.account = FleetAccount()
        self.lost_reports: set[str] = set()
        self.gone: set[str] = set()
        self.partitions: dict[str, float] = {}
        self.extra_report_lag = 0.0
        self.cheap_gone: dict[str, float] = {}
        self.cheap_work = self.repeatable_work = 0.0
        self.timeline = Timeline()
        self._build_servers()
        self.entries = [self._build_entry(index) for index in range(deployment.entries)]
        self.control = FakeControl(self)
        for at, fault in scenario.faults:
            self.events.add(at, inject_fault, fault, self)

    def run(self) -> None:
        """Run the scenario to its end."""
        length = sum(phase.seconds for phase in self.scenario.phases)
        self.offers = build_offers(self.scenario.phases, self.deployment, self.rng)
        for offer in self.offers:
            self.events.add(offer.at, self.entries[offer.entry].arrive, offer)
        self.events.add(HEARTBEAT_SECONDS, self._beat)
        self.events.run(length)
        self.account.close(length)
        self.control.stopped = True
        self.events.run(length + DRAIN_AFTER_SECONDS)

    def add_server(self, server: Any) -> None:
        """Connect a server to everything else."""
        server.events = self.events
        if isinstance(server, FakeEngine):
            server.publish = self._publish
        self.servers[server.name] = server
        self.events.add(float(self.rng.random()), self._report, server)

    def tell_view(self, server: Any) -> None:
        """Tell each entry VM of the server's state, each after its own delay."""
        view = self.build_view(server)
        for entry in getattr(self, "entries", ()):
            delay = float(self.rng.uniform(*NOTICE_LAG))
            self.events.add(delay, self._apply_view, entry, view)

    def build_view(self, server: Any) -> BackendView:
        """Return what entry VMs know of a server."""
        return BackendView(
            name=server.name,
            data_centre=server.data_centre,
            serves=server.serves,
            role=server.role,
            reclaimable=server.reclaimable,
            leaving=server.leaving or not server.up,
        )

    def get_distance(self, entry: FakeEntry, server: Any) -> float:
        """Return the time of one way."""
        if entry.data_centre == server.data_centre:
            return 0.0002
        return self.deployment.data_centre_seconds

    def note_work(self, attempt: Attempt, tokens: int) -> None:
        """Account repeatable work, and how much of it was on cheap servers."""
        offer = attempt.answer.offer
        server = attempt.server
        if server is None or not offer.repeatable:
            return
        work = offer.service_seconds if offer.serves == "service" else 0.000_25 * tokens
        if offer.serves == "model" and tokens:
            cached = attempt.cached_blocks * 1000
            work += max(0, attempt.prompt_tokens - cached) / 32_000
        self.repeatable_work += work
        self.cheap_work += work if server.reclaimable else 0.0

    def _build_servers(self) -> None:
        # Cheap ones are spread, at most one of a kind in a data centre.
        count = self.deployment.workers
        for index in range(count):
            role = "prefill" if index < max(1, round(count / 3)) else "decode"
            place = f"dc{index % self.deployment.data_centres + 1}"
            cheap = index % self.deployment.data_centres in (1, 2) and index < 4
            engine = FakeEngine(f"engine-{index}", place, role, reclaimable=cheap)
            self.add_server(engine)
        for index in range(self.deployment.service_workers):
            place = f"dc{index % self.deployment.data_centres + 1}"
            service = FakeService(f"service-{index}", place, reclaimable=index % 4 > 1)
            self.add_server(service)
        for server in self.servers.values():
            self.account.open(server, 0.0)

    def _build_entry(self, index: int) -> FakeEntry:
        place = f"dc{index % self.deployment.data_centres + 1}"
        table = LoadTable(PROFILES)
        table.set_servers(self.build_view(server) for server in self.servers.values())
        if self.policy.baseline:
            dispatcher: Any = BaselineDispatcher(table, self.policy.baseline)
        else:
            draws = np.random.default_rng(index)
            dispatcher = Dispatcher(
                table,
                build_weights(self.deployment),
                lambda bound: int(draws.integers(bound)),
                self.policy.limits,
            )
        return FakeEntry(self, place, dispatcher)

    def _apply_view(self, entry: FakeEntry, view: BackendView) -> None:
        table = entry.dispatcher.table
        if view.name in self.gone:
            table.remove_server(view.name)
            return
        if view == self.build_view(self.servers[view.name]):
            table.replace_view(view)

    def _report(self, server: Any) -> None:
        self.events.add(REPORT_SECONDS, self._report, server)
        if not server.up or server.name in self.lost_reports:
            return
        report = server.build_report()
        for entry in self.entries:
            lag = float(self.rng.uniform(*REPORT_LAG)) + self.extra_report_lag
            self.events.add(lag, entry.dispatcher.table.apply_report, report)

    def _publish(self, event: CacheEvent) -> None:
        lags = self.rng.uniform(*CACHE_EVENT_LAG, len(self.entries))
        losses = self.rng.random(len(self.entries))
        for entry, lag, loss in zip(self.entries, lags, losses, strict=True):
            if loss >= CACHE_EVENT_LOSS:
                self.events.add(float(lag), entry.dispatcher.index.apply, event)

    def _is_cut(self, entry: FakeEntry, other: FakeEntry) -> bool:
        if entry.data_centre == other.data_centre:
            return False
        return any(
            self.partitions.get(place, 0.0) > self.events.now
            for place in (entry.data_centre, other.data_centre)
        )

    def _beat(self) -> None:
        self.events.add(HEARTBEAT_SECONDS, self._beat)
        for index, entry in enumerate(self.entries):
            peer = PeerLoad(str(index), entry.dispatcher.table.list_own_load())
            served = entry.dispatcher.pop_served_work()
            self.control.hear_demand(entry.dispatcher.pop_demand())
            for other in self.entries:
                if other is not entry and not self._is_cut(entry, other):
                    delay = self.deployment.data_centre_seconds
                    self.events.add(delay, other.hear_heartbeat, served, peer)
        self.timeline.sample(self)
