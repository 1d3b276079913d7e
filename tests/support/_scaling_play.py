"""Play of a load on a fleet that the real scaling decisions order, in virtual time."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from tests.support._gateway_fixture import TABLE, GatewayFixture
from wisteriagw.fleet import BackendServer
from wisteriagw.gateway._demand_monitor import DemandMonitor
from wisteriagw.gateway._demand_orders import DemandOrders
from wisteriagw.gateway._scaler import Scaler
from wisteriagw.gateway._stage_controller import StageController
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.placement import Plan, Prompt
from wisteriagw.routes import ScalingTerms

CENTRES = ("north", "south", "west")
MAX_SERVERS = 12
STARTUP_SECONDS = 4.0
DRAIN_SECONDS = 2.0
STEP_SECONDS = 0.25
SLOTS = 64


class ScalingPlay:
    """Engines of one service, their platform and the holder of the authority.

    Attributes
    ----------
    load : callable
        Returns the busy engines of the prefill and the decode stage at a time.
    lack_seconds : float
        Time for which a stage had fewer engines than its load keeps busy.
    peers_known : bool
        Whether the sums contain the other VM.
    refusing : set of str
        Data centres without available servers.
    lost, late_seconds : bool, float
        Whether the answers of orders are lost, and when such orders are carried out.
    """

    def __init__(self, max_servers: int = MAX_SERVERS) -> None:
        self.fixture = GatewayFixture()
        self.clock = self.fixture.clock
        self.servers = self.fixture.fleet.fleet.servers
        self.servers.clear()
        prices = tuple((name, 1.0) for name in CENTRES)
        terms = ScalingTerms(1, max_servers, STARTUP_SECONDS, 0.2, prices)
        service = TABLE.services["lm"]._replace(scaling=terms)
        self.fixture.configuration.table = TABLE._replace(services={"lm": service})
        self.load = lambda now: (0.0, 0.0)
        self.number = 5
        self.peers_known, self.lost, self.late_seconds = True, False, 0.0
        self.refusing: set[str] = set()
        self.orders: list[tuple[float, str, int]] = []
        self.stage_orders = 0
        self.lack_seconds = self.server_seconds = 0.0
        self.monitor = DemandMonitor(self.fixture.context, lambda: 2)
        self._born = 0
        self._desired = dict.fromkeys(CENTRES, 0)
        self.start_holder()

    def start_holder(self) -> None:
        """Let another process take the authority, which knows none of the orders."""
        context = self.fixture.context
        feeds = (context.configuration, context.fleet)
        orders = DemandOrders(context, self.monitor)
        self.scaler = Scaler(self.clock, self, self, *feeds, orders)
        table = context.notices.table
        common = (*feeds, context.work, table, lambda *arguments: None)
        need = self.monitor.find_stage_need
        self.stages = StageController(self.clock, self, self, *common, need)

    def get_fencing_number(self) -> int:
        return self.number

    def count(self, data_centre: str | None = None, stage: str | None = None) -> int:
        """Return the available servers."""
        return sum(
            not server.leaving
            and data_centre in (None, server.data_centre)
            and stage in (None, server.stage)
            for server in self.servers.values()
        )

    def fill(self, count: int = MAX_SERVERS) -> None:
        """Start servers in all data centres at once, two in five for prefill."""
        for name in CENTRES:
            self._desired[name] = count
            for index in range(count):
                self._add(name, "prefill" if index % 5 in (1, 3) else "decode")

    def lose(self, data_centre: str) -> None:
        """Take all servers of a data centre."""
        for name, server in list(self.servers.items()):
            if server.data_centre == data_centre:
                del self.servers[name]

    def run(self, seconds: float) -> None:
        """Let the load run for some seconds; orders are sent twice a second."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._apply_load(self.clock.seconds())
            if step % 2:
                continue
            self.monitor.observe()
            for cycle in (self.scaler.run_cycle, self.stages.run_cycle):
                errors = []
                Deferred.fromCoroutine(cycle()).addErrback(errors.append)
                assert not errors, errors[0].getTraceback()

    async def order_servers(self, service, data_centre, count, reclaimable, number):
        """Carry out an order as the platform does."""
        now = self.clock.seconds()
        self.orders.append((now, data_centre, count))
        if reclaimable and data_centre in self.refusing:
            return Done(409, b"")
        if self.lost:
            self.clock.callLater(self.late_seconds, self._set, data_centre, count)
            return MayHaveRun("lost")
        self._set(data_centre, count)
        return Done(200, b"")

    async def order_stage(self, address, server, stage, number):
        """Change the stage of an engine, which is unavailable meanwhile."""
        self.stage_orders += 1
        found = self.servers[server]
        self.servers[server] = found._replace(stage="changing")
        self.clock.callLater(3.0, self._change_stage, server, stage)
        return Done(202, b"")

    def _change_stage(self, name: str, stage: str) -> None:
        if name in self.servers:
            self.servers[name] = self.servers[name]._replace(stage=stage)

    def _set(self, data_centre: str, count: int) -> None:
        self._desired[data_centre] = count
        names = [
            name
            for name, server in self.servers.items()
            if server.data_centre == data_centre and not server.leaving
        ]
        for name in names[count:]:
            self.servers[name] = self.servers[name]._replace(leaving=True)
            self.clock.callLater(DRAIN_SECONDS, self.servers.pop, name, None)
        if count > len(names):
            self.clock.callLater(STARTUP_SECONDS, self._fill_up, data_centre)

    def _fill_up(self, data_centre: str) -> None:
        for _ in range(self._desired[data_centre] - self.count(data_centre)):
            self._add(data_centre, "decode")

    def _add(self, data_centre: str, stage: str) -> None:
        self._born += 1
        name = f"lm-{self._born}"
        self.servers[name] = BackendServer(
            name, "lm", ("10.0.0.1", 80), data_centre, SLOTS, False, stage, 0, True
        )

    def _apply_load(self, now: float) -> None:
        """Let the load arrive and count what it lacks, some of it at another VM."""
        prefill, decode = self.load(now)
        context = self.fixture.context
        service = context.configuration.table.services["lm"]
        rate = context.rates.get("lm").tokens_per_second
        # Half of the prompts come to the other VM.
        tokens = prefill / 2 * rate * STEP_SECONDS
        plan = Plan("lm-1", uncached_tokens=tokens)
        context.demand.record_placement(service, Prompt("m", round(tokens), 1), plan)
        engines = [name for name, s in self.servers.items() if s.stage == "decode"]
        streams = min(decode, float(len(engines))) * SLOTS
        rows = [(name, 0.0, streams / len(engines)) for name in engines]
        context.work.apply_peer_work("vm-2", rows, now)
        if self.peers_known:
            rows = [("demand", "", 1.0), ("demand", "lm", prefill / 2, 0.0, 0.0)]
            context.sums.apply_peer_rows("vm-2", rows, now)
        lacks = self.count(stage="prefill") < prefill or len(engines) < decode
        self.lack_seconds += STEP_SECONDS * lacks
        self.server_seconds += STEP_SECONDS * len(self.servers)
