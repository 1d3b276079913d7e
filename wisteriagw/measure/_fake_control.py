"""Fake control program around the real role and spending decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.measure._engine_role_model import CAPACITY
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

ROLES_SECONDS = 2.0
SPENDING_SECONDS = 5.0
CHANGE_SECONDS = (3.0, 10.0)
CRASH_PART = 0.1
CRASH_SECONDS = 20.0
START_SECONDS = 90.0
# The fleet is limited: the platform gives at most this many times the workers.
PLATFORM_LIMIT = 1.5
HAND_OVER_AFTER_SECONDS = 2.0
# A drain that hands nothing over waits for the streams at most this long.
POLL_SECONDS = 0.25


class FakeControl:
    """Carries out role changes, orders, returns and drains on the fakes."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.events = simulation.events
        self.stopped = False
        self.paused_until = 0.0
        self.role_changes = 0
        self.demand = Demand()
        self.forecasts = {"model": Forecast(), "service": Forecast()}
        self.explained: list[tuple[float, Any]] = []
        self._asked = [0.0, 0.0]
        self._changing: set[str] = set()
        self._starting: dict[str, Any] = {}
        self._changes: list[float] = []
        self._last_change = (float("-inf"), "")
        self._enough_since = {"model": 0.0, "service": 0.0}
        self._work_seen = {"model": 0.0, "service": 0.0}
        self._count = 0
        self.events.add(ROLES_SECONDS, self._turn_roles)
        self.events.add(SPENDING_SECONDS, self._turn_spending)

    def hear_demand(self, demand: tuple[float, float]) -> None:
        """Take the demand of one entry VM since its last heartbeat."""
        self._asked[0] += demand[0]
        self._asked[1] += demand[1]

    def hand_over(self, server: Any) -> None:
        """Move all streams of an engine by export and import of their KV cache."""
        for attempt, tokens in server.remove_all():
            attempt.owner.hear_moved(attempt, tokens)

    def take_away(self, server: Any) -> None:
        """End a server with whatever is still on it."""
        server.up = False
        for attempt, tokens in server.remove_all():
            attempt.owner.hear_cut(attempt, tokens)
        self.simulation.gone.add(server.name)
        self.simulation.account.end(server.name, self.events.now)
        self.simulation.tell_view(server)

    def drain(self, server: Any, then: Callable[..., None], *args: Any) -> None:
        """Let a server's work end or move it, then call a function."""
        server.leaving = True
        self.simulation.tell_view(server)
        if self.simulation.policy.hand_over and server.serves == "model":
            self.events.add(HAND_OVER_AFTER_SECONDS, self.hand_over, server)
        self.events.add(HAND_OVER_AFTER_SECONDS, self._wait_empty, server, then, args)

    def restart(self, server: Any, seconds: float) -> None:
        """Take a drained server away for a time."""
        server.up = False
        self.events.add(seconds, self._come_back, server)

    def _wait_empty(
        self, server: Any, then: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        if server.count_work():
            self.events.add(POLL_SECONDS, self._wait_empty, server, then, args)
            return
        then(server, *args)

    def _come_back(self, server: Any) -> None:
        server.up = True
        server.leaving = False
        server.lose_cache()
        self._changing.discard(server.name)
        self.simulation.tell_view(server)

    def _turn_roles(self) -> None:
        if self.stopped:
            return
        self.events.add(ROLES_SECONDS, self._turn_roles)
        now = self.events.now
        prefill, decode = (asked / ROLES_SECONDS for asked in self._asked)
        self._asked = [0.0, 0.0]
        self.demand = smooth_demand(self.demand, prefill, decode, now)
        if not self.simulation.policy.roles or now < self.paused_until:
            return
        view = RolesView(
            self._list_engines(),
            self.demand,
            self._get_profiles(),
            *self._last_change,
            sum(1 for at in self._changes if now - at < RECENT_CHANGES_SECONDS),
        )
        decision = plan_roles(view, now)
        for change in decision.changes:
            self.explained.append((now, decision))
            self.role_changes += 1
            self._changes.append(now)
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
                server.count_work(),
                available=server.up and not server.leaving,
                changing=server.name in self._changing,
            )
            for server in self.simulation.servers.values()
            if server.serves == "model"
        )

    def _change_role(self, server: Any, role: str) -> None:
        server.up = False
        seconds = float(self.simulation.rng.uniform(*CHANGE_SECONDS))
        if self.simulation.rng.random() < CRASH_PART:
            seconds += CRASH_SECONDS
        else:
            server.role = role
        self.events.add(seconds, self._come_back, server)

    def _turn_spending(self) -> None:
        if self.stopped:
            return
        self.events.add(SPENDING_SECONDS, self._turn_spending)
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
        rate = (done - self._work_seen[serves]) / SPENDING_SECONDS
        self._work_seen[serves] = done
        load = rate / CAPACITY if serves == "model" else rate
        forecast = update_forecast(self.forecasts[serves], load, self.events.now)
        self.forecasts[serves] = forecast

    def _plan(self, serves: str) -> None:
        now = self.events.now
        once = 0.3 if serves == "service" else 0.0
        predicted = predict_load(self.forecasts[serves], START_SECONDS / 3)
        owned = self._list_owned(serves)
        view = SpendingView(
            self._list_offers(),
            owned,
            predicted,
            predicted * once,
            self._enough_since[serves],
            self.forecasts[serves].at,
            self._get_limit(serves),
        )
        decision = plan_spending(view, now)
        if decision.orders:
            self._enough_since[serves] = now
        if decision.orders or decision.releases:
            self.explained.append((now, decision))
        for order in decision.orders:
            for _ in range(order.count):
                self._order(serves, order.data_centre, order.reclaimable)
        for name in decision.releases:
            self.drain(self.simulation.servers[name], self.take_away)

    def _get_limit(self, serves: str) -> int:
        deployment = self.simulation.deployment
        counts = {"model": deployment.workers, "service": deployment.service_workers}
        return int(counts[serves] * PLATFORM_LIMIT)

    def _list_offers(self) -> tuple[DataCentreOffer, ...]:
        gone = self.simulation.cheap_gone
        now = self.events.now
        return tuple(
            DataCentreOffer(name, gone.get(name, 0.0) <= now)
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
                running_streams=server.count_work(),
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

    def _order(self, serves: str, data_centre: str, cheap: bool) -> None:
        self._count += 1
        name = f"{serves}-ordered-{self._count}"
        server: Any
        if serves == "model":
            server = FakeEngine(name, data_centre, "decode", reclaimable=cheap)
        else:
            server = FakeService(name, data_centre, reclaimable=cheap)
        self._starting[name] = server
        self.simulation.account.open(server, self.events.now)
        self.events.add(START_SECONDS, self._start, server)

    def _start(self, server: Any) -> None:
        del self._starting[server.name]
        self.simulation.add_server(server)
        self.simulation.tell_view(server)
