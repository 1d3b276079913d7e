"""Test fixture: a gateway with a scripted connection pool, in virtual time."""

from __future__ import annotations

from types import SimpleNamespace

from twisted.internet.task import Clock

from wisteriagw.connections import (
    BufferBudget,
    CallClient,
    ConnectFailedError,
    HttpRequest,
    Reachability,
    Response,
    ResponseHead,
)
from wisteriagw.fleet import BackendServer
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._context import GatewayContext
from wisteriagw.gateway._crash_detector import CrashDetector
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._decision_log import DecisionLog
from wisteriagw.gateway._engine_rate_table import EngineRateTable
from wisteriagw.gateway._fleet_feed import FleetFeed
from wisteriagw.gateway._metrics import GatewayMetrics
from wisteriagw.gateway._pending_updates import PendingUpdates
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.gateway._retry_budgets import RetryBudgets
from wisteriagw.gateway._urgent_ranks import UrgentRanks
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway.notices import NoticeBoard
from wisteriagw.placement import WorkTable
from wisteriagw.platform import EngineClient
from wisteriagw.routes import (
    Customer,
    EngineTraits,
    Route,
    RoutingTable,
    Service,
    index_routes,
)
from wisteriagw.standins import TopicStore
from wisteriagw.sums import SumTable

SETTINGS = SimpleNamespace(
    vm="vm-1",
    data_centre="north",
    retry_ratio=0.2,
    retry_allowance=50.0,
    retry_window=10.0,
    usage_window=5.0,
    usage_due=10.0,
    quota_window=8.0,
    quota_over=0.1,
    quota_slack=1_000.0,
)
WINDOW_SECONDS = 5.0


class SentRequest:
    """A request that reached a backend server, with its pending response."""

    def __init__(self, address, request: HttpRequest, accepts) -> None:
        self.address = address
        self.request = request
        self.headers = dict(request.headers)
        self.aborted = False
        self.response = Response(accepts, self._abort)

    def start(self, status: int = 200, **headers: str) -> None:
        """Deliver the head of a genuine response."""
        found = {
            name: value
            for name, value in self.headers.items()
            if name == b"x-wisteriagw-request-id"
        }
        found[b"x-wisteriagw-server-stamp"] = b"stamp"
        for name, value in headers.items():
            found[name.replace("_", "-").encode()] = value.encode()
        self.response.handle_head(ResponseHead(status, tuple(found.items())))

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Deliver a complete response."""
        self.start(status, **headers)
        if body:
            self.response.handle_part(body)
        self.response.handle_end()

    def _abort(self) -> None:
        self.aborted = True


class ScriptedPool:
    """Records sent requests; connections to unreachable addresses fail."""

    def __init__(self) -> None:
        self.budget = BufferBudget()
        self.sent: list[SentRequest] = []
        self.unreachable: set = set()
        self.refusing: set = set()
        self.checked: list = []

    async def send(self, address, request, accepts, connect_timeout=0.5):
        if address in self.unreachable | self.refusing:
            raise ConnectFailedError("refused")
        sent = SentRequest(address, request, accepts)
        self.sent.append(sent)
        return sent.response

    async def probe(self, address) -> Reachability:
        self.checked.append(address)
        if address in self.refusing:
            return Reachability.REFUSED
        if address in self.unreachable:
            return Reachability.SILENT
        return Reachability.OPEN


class RecordingResponder:
    """Records the answer to a caller's request."""

    def __init__(self) -> None:
        self.on_disconnect = lambda: None
        self.started = self.ended = self.aborted = False
        self.status = 0
        self.headers: dict = {}
        self.body = b""

    def start(self, status, headers) -> None:
        self.started = True
        self.status = status
        self.headers = dict(headers)

    def write(self, data) -> None:
        self.body += data

    async def wait_writable(self) -> None:
        pass

    def end(self) -> None:
        self.ended = True

    def reply(self, status, headers=(), body=b"") -> None:
        assert not self.started, "answered twice"
        self.start(status, headers)
        self.write(body)
        self.end()

    def abort(self) -> None:
        self.ended = self.aborted = True


def build_route(name: str, service: str, **changes) -> Route:
    """Return a route of the host ``a.example`` whose path prefix is its name."""
    values = {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "streaming": False,
        "repeatable": False,
        "resumable": False,
        "timeout": 8.0,
        "target_seconds": 0.2,
        "priority": 1,
        "max_attempts": 1,
        "open": False,
        "targets": ((service, 1.0),),
        **changes,
    }
    return Route(**values)


ROUTES = (
    build_route("unsafe", "desk"),
    build_route("safe", "desk", repeatable=True, max_attempts=2),
    build_route("ask", "lm", streaming=True),
    build_route(
        "long",
        "lm",
        streaming=True,
        repeatable=True,
        resumable=True,
        max_attempts=2,
        target_seconds=0.6,
    ),
)
TABLE = RoutingTable(
    version=3,
    routes=index_routes(ROUTES),
    services={
        "desk": Service("desk", 100),
        "lm": Service("lm", 100, EngineTraits(64, 500_000, 18_432, 370_000.0, 5, 3)),
    },
    customers={"k1": Customer("t-1", 2)},
)


class GatewayFixture:
    """A gateway whose store, peers and backend servers are scripted."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.store = TopicStore()
        self.pool = ScriptedPool()
        self.work = WorkTable()
        self.sums = SumTable()
        self.configuration = ConfigurationFeed(
            self.clock, self.store, 5.0, lambda table: None
        )
        self.configuration.table = TABLE
        self.confirm()
        self.notices = NoticeBoard(self.clock.seconds, self.work, "vm-1")
        self.fleet = FleetFeed(
            self.clock, self.store, lambda server: None, notices=self.notices
        )
        for number in (1, 2):
            self.add_server(f"desk-{number}", "desk", number)
            self.add_server(f"lm-{number}", "lm", 10 + number, stage="decode")
        self.usage = UsageCounter(WINDOW_SECONDS, self.clock.seconds)
        self.pending_updates = PendingUpdates(self.usage)
        self.crashing_parts = CrashingParts(self.clock.seconds)
        log, metrics = DecisionLog(self.clock.seconds), GatewayMetrics()
        self.context = GatewayContext(
            self.clock,
            SETTINGS,
            self.configuration,
            self.fleet,
            self.pool,
            self.work,
            EngineRateTable(),
            RetryBudgets(SETTINGS),
            self.usage,
            self.pending_updates,
            log,
            metrics,
            self.crashing_parts,
            CrashDetector(
                self.clock,
                self.pool,
                self.fleet,
                self.work,
                log,
                metrics,
                self.crashing_parts,
            ),
            self.notices,
            lambda: 0.5,
            self.store.eras,
            EngineClient(CallClient(self.clock, self.pool)),
            self.sums,
            UrgentRanks(),
        )
        self.handler = RequestHandler(self.context)

    def confirm(self) -> None:
        """Mark the configuration as just read."""
        self.configuration.follower.read_at = self.clock.seconds()

    def add_server(self, name: str, service: str, number: int, **fields) -> None:
        """Register a backend server."""
        self.fleet.fleet.servers[name] = BackendServer(
            name, service, (f"10.0.0.{number}", 80), "north", 8, **fields
        )

    def request(
        self,
        route: str,
        *headers,
        key: str = "k1",
        prompt: str = "",
        parts: str = "aa:13300,bb:3700",
        deadline=(b"x-wisteriagw-deadline-ms", b"4000"),
    ):
        """Send a caller's request and return its responder."""
        found = [
            (b"host", b"a.example"),
            (b"x-wisteriagw-request-id", b"r1"),
            deadline,
            (b"authorization", f"Token {key}".encode()),
            *headers,
        ]
        if prompt:
            found.append((b"x-wisteriagw-model", b"m"))
            found.append((b"x-wisteriagw-token-count", prompt.encode()))
            found.append((b"x-wisteriagw-prompt-prefix", parts.encode()))
        responder = RecordingResponder()
        self.handler.handle(
            HttpRequest(b"POST", f"/{route}/x".encode(), tuple(found), b"body"),
            responder,
        )
        return responder

    def count_usage(self) -> int:
        """Return the number of requests that were counted as usage."""
        return sum(count for _, _, count in self.usage.list_rows(3))
