"""Fake control program that runs the real role and spending decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.measure._engine_role_model import ENGINE_CAPACITY
from wisteriagw.measure._fake_engine import FakeEngine
from wisteriagw.measure._fake_service import FakeService
from wisteriagw.roles import (
    RECENT_CHANGES_SECONDS,
    Demand,
    EngineRole,
    RolesView,
    plan_roles,
    smooth_demand,
)
from wisteriagw.spending import (
    DataCentreOffer,
    Forecast,
    OwnedServer,
    SpendingView,
    plan_spending,
    predict_load,
    update_forecast,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.measure._simulation import Simulation

ROLES_INTERVAL_SECONDS = 2.0
SPENDING_INTERVAL_SECONDS = 5.0
ROLE_CHANGE_SECONDS = (3.0, 10.0)
CRASH_PROBABILITY = 0.1
CRASH_RECOVERY_SECONDS = 20.0
START_SECONDS = 90.0
# The platform supplies at most this many times the initial number of servers.
MAX_FLEET_RATIO = 1.5
DRAIN_DELAY_SECONDS = 2.0
# Interval at which a drain checks whether the server still has requests.
DRAIN_POLL_SECONDS = 0.25


class FakeControl:
    """Carries out role changes, orders, releases and drains on the fake servers."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.events = simulation.events
        self.stopped = False
        self.paused_until = 0.0
        self.role_changes = 0
        self.demand = Demand()
        self.forecasts = {"model": Forecast(), "service": Forecast()}
        self.applied_decisions: list[tuple[float, Any]] = []
        self._demand_totals = [0.0, 0.0]
        self._changing: set[str] = set()
        self._starting: dict[str, Any] = {}
        self._role_change_times: list[float] = []
        self._last_change = (float("-inf"), "")
        self._sufficient_since = {"model": 0.0, "service": 0.0}
        self._last_work_done = {"model": 0.0, "service": 0.0}
        self._count = 0
        self.events.add(ROLES_INTERVAL_SECONDS, self._update_roles)
        self.events.add(SPENDING_INTERVAL_SECONDS, self._update_spending)

    def record_demand(self, demand: tuple[float, float]) -> None:
        """Add the demand of one entry VM since its last heartbeat."""
        self._demand_totals[0] += demand[0]
        self._demand_totals[1] += demand[1]

    def migrate_streams(self, server: Any) -> None:
        """Migrate all streams of an engine by export and import of their KV cache."""
        for attempt, tokens in server.remove_all():
            attempt.owner.handle_migration(attempt, tokens)

    def end_server(self, server: Any) -> None:
        """Stop a server; requests that still run on it are lost."""
        server.up = False
        for attempt, tokens in server.remove_all():
            attempt.owner.handle_loss(attempt, tokens)
        self.simulation.removed_servers.add(server.name)
        self.simulation.fleet_cost.stop_billing(server.name, self.events.now)
        self.simulation.send_view(server)

    def drain(self, server: Any, on_empty: Callable[..., None], *args: Any) -> None:
        """Drain a server; call a function when its requests have ended or migrated."""
        server.leaving = True
        self.simulation.send_view(server)
        if self.simulation.policy.migrate_streams and server.serves == "model":
            self.events.add(DRAIN_DELAY_SECONDS, self.migrate_streams, server)
        self.events.add(
            DRAIN_DELAY_SECONDS, self._wait_until_empty, server, on_empty, args
        )

    def restart(self, server: Any, seconds: float) -> None:
        """Stop a drained server and return it to service after some seconds."""
        server.up = False
        self.events.add(seconds, self._return_to_service, server)

    def _wait_until_empty(
        self, server: Any, on_empty: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        if server.count_requests():
            self.events.add(
                DRAIN_POLL_SECONDS, self._wait_until_empty, server, on_empty, args
            )
            return
        on_empty(server, *args)

    def _return_to_service(self, server: Any) -> None:
        server.up = True
        server.leaving = False
        server.clear_cache()
        self._changing.discard(server.name)
        self.simulation.send_view(server)

    def _update_roles(self) -> None:
        if self.stopped:
            return
        self.events.add(ROLES_INTERVAL_SECONDS, self._update_roles)
        now = self.events.now
        prefill, decode = (
            total / ROLES_INTERVAL_SECONDS for total in self._demand_totals
        )
        self._demand_totals = [0.0, 0.0]
        self.demand = smooth_demand(self.demand, prefill, decode, now)
        if not self.simulation.policy.roles or now < self.paused_until:
            return
        view = RolesView(
            self._list_engines(),
            self.demand,
            self._get_profiles(),
            *self._last_change,
            sum(
                1 for at in self._role_change_times if now - at < RECENT_CHANGES_SECONDS
            ),
        )
        decision = plan_roles(view, now)
        for change in decision.changes:
            self.applied_decisions.append((now, decision))
            self.role_changes += 1
            self._role_change_times.append(now)
            self._last_change = (now, change.role)
            server = self.simulation.servers[change.backend_server]
            self._changing.add(server.name)
            self.drain(server, self._change_role, change.role)

    def _get_profiles(self) -> Any:
        return self.simulation.entries[0].dispatcher.table.profiles

    def _list_engines(self) -> tuple[EngineRole, ...]:
        return tuple(
            EngineRole(
                server.name,
                server.role,
                server.count_requests(),
                available=server.up and not server.leaving,
                changing=server.name in self._changing,
            )
            for server in self.simulation.servers.values()
            if server.serves == "model"
        )

    def _change_role(self, server: Any, role: str) -> None:
        server.up = False
        seconds = float(self.simulation.rng.uniform(*ROLE_CHANGE_SECONDS))
        if self.simulation.rng.random() < CRASH_PROBABILITY:
            seconds += CRASH_RECOVERY_SECONDS
        else:
            server.role = role
        self.events.add(seconds, self._return_to_service, server)

    def _update_spending(self) -> None:
        if self.stopped:
            return
        self.events.add(SPENDING_INTERVAL_SECONDS, self._update_spending)
        for serves in ("model", "service"):
            self._sample_load(serves)
            simulation = self.simulation
            allowed = simulation.policy.spending and simulation.scenario.orders
            if allowed and self.events.now >= self.paused_until:
                self._plan(serves)

    def _sample_load(self, serves: str) -> None:
        done = sum(
            server.work_done
            for server in self.simulation.servers.values()
            if server.serves == serves
        )
        rate = (done - self._last_work_done[serves]) / SPENDING_INTERVAL_SECONDS
        self._last_work_done[serves] = done
        load = rate / ENGINE_CAPACITY if serves == "model" else rate
        forecast = update_forecast(self.forecasts[serves], load, self.events.now)
        self.forecasts[serves] = forecast

    def _plan(self, serves: str) -> None:
        now = self.events.now
        nonrepeatable_fraction = 0.3 if serves == "service" else 0.0
        predicted = predict_load(self.forecasts[serves], START_SECONDS / 3)
        owned = self._list_owned(serves)
        view = SpendingView(
            self._list_offers(),
            owned,
            predicted,
            predicted * nonrepeatable_fraction,
            self._sufficient_since[serves],
            self.forecasts[serves].at,
            self._get_limit(serves),
        )
        decision = plan_spending(view, now)
        if decision.orders:
            self._sufficient_since[serves] = now
        if decision.orders or decision.releases:
            self.applied_decisions.append((now, decision))
        for order in decision.orders:
            for _ in range(order.count):
                self._place_order(serves, order.data_centre, order.reclaimable)
        for name in decision.releases:
            self.drain(self.simulation.servers[name], self.end_server)

    def _get_limit(self, serves: str) -> int:
        deployment = self.simulation.deployment
        counts = {"model": deployment.workers, "service": deployment.service_workers}
        return int(counts[serves] * MAX_FLEET_RATIO)

    def _list_offers(self) -> tuple[DataCentreOffer, ...]:
        unavailable_until = self.simulation.reclaimable_unavailable_until
        now = self.events.now
        return tuple(
            DataCentreOffer(name, unavailable_until.get(name, 0.0) <= now)
            for name in (
                f"dc{index + 1}"
                for index in range(self.simulation.deployment.data_centres)
            )
        )

    def _list_owned(self, serves: str) -> tuple[OwnedServer, ...]:
        owned = [
            OwnedServer(
                server.name,
                server.data_centre,
                server.reclaimable,
                leaving=server.leaving and server.name not in self._changing,
                running_streams=server.count_requests(),
            )
            for server in self.simulation.servers.values()
            if server.serves == serves and (server.up or server.name in self._changing)
        ]
        owned += [
            OwnedServer(server.name, server.data_centre, server.reclaimable, up=False)
            for server in self._starting.values()
            if server.serves == serves
        ]
        return tuple(owned)

    def _place_order(self, serves: str, data_centre: str, reclaimable: bool) -> None:
        self._count += 1
        name = f"{serves}-ordered-{self._count}"
        server: Any
        if serves == "model":
            server = FakeEngine(name, data_centre, "decode", reclaimable=reclaimable)
        else:
            server = FakeService(name, data_centre, reclaimable=reclaimable)
        self._starting[name] = server
        self.simulation.fleet_cost.start_billing(server, self.events.now)
        self.events.add(START_SECONDS, self._start, server)

    def _start(self, server: Any) -> None:
        del self._starting[server.name]
        self.simulation.add_server(server)
        self.simulation.send_view(server)
