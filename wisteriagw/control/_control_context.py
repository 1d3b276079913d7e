"""State that the parts of a control process share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.audit import AuditWriter
from wisteriagw.checkpoints import build_retention
from wisteriagw.clients import BackendsClient, VmListClient
from wisteriagw.config import CONFIG_CODEC, apply_record, build_empty_config
from wisteriagw.control._engine_report import EngineReport
from wisteriagw.control._engines_client import EnginesClient
from wisteriagw.control._fleet_authority import FleetAuthority
from wisteriagw.control._fleet_view import FleetView
from wisteriagw.control._order_receiver import OrderReceiver
from wisteriagw.follower import CheckpointWriter, StreamFollower
from wisteriagw.orders import apply_order_record
from wisteriagw.telemetry import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.clients import LogClient
    from wisteriagw.config import BackendServerRow
    from wisteriagw.http import HttpClient
    from wisteriagw.leases import LeaseController

CONFIG_STREAM = "config"
ORDERS_STREAM = "orders"


class ControlContext:
    """Clients, folds and receivers of one control process."""

    def __init__(
        self,
        settings: dict[str, Any],
        client: HttpClient,
        log: LogClient,
        lease: LeaseController,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.log = log
        self.clock = clock
        self.authority = FleetAuthority(lease, clock)
        self.audit = AuditWriter(log)
        self.metrics = Metrics(settings.get("statsd"), "control", settings["vm"])
        self.engines_client = EnginesClient(client)
        self.vm_list = VmListClient(client, settings["vm-list"])
        self.backends_client = None
        if settings["backends"] is not None:
            self.backends_client = BackendsClient(client, settings["backends"])
        self.backends = OrderReceiver()
        self.engines: dict[str, OrderReceiver] = {}
        self.config_follower = StreamFollower(
            log,
            CONFIG_STREAM,
            build_empty_config(),
            apply_record,
            clock,
            CONFIG_CODEC,
        )
        self.checkpoints = CheckpointWriter(
            log, self.config_follower, build_retention(settings), clock
        )
        self.orders_follower = StreamFollower(
            log, ORDERS_STREAM, {}, apply_order_record, clock
        )

    def list_engines(self) -> list[BackendServerRow]:
        """Return the engines on the sheet in force."""
        rows = self.config_follower.state.sheet["backend_servers"]
        return [row for row in rows if row["kind"] == "engine"]

    def list_stale_engines(self, limit: int) -> list[str]:
        """Return the names of the engines that were read least recently."""
        names = [row["name"] for row in self.list_engines()]
        names.sort(key=lambda name: self.get_engine(name).read_at)
        return names[:limit]

    def get_engine(self, name: str) -> OrderReceiver:
        """Return the last known state of an engine."""
        return self.engines.setdefault(name, OrderReceiver())

    def build_fleet_view(self) -> FleetView:
        """Return the input of the planner."""
        config = self.config_follower.state
        reports = []
        for row in self.list_engines():
            engine = self.get_engine(row["name"])
            draining = row["name"] in config.draining
            reports.append(
                EngineReport(
                    row, engine.state, engine.read_at, draining, engine.sent_at
                )
            )
        orders = self.backends.state or ()
        return FleetView(config.revision, config.sheet, tuple(reports), orders)
