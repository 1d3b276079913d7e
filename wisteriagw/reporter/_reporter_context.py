"""State of the usage program."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from wisteriagw.checkpoints import build_retention
from wisteriagw.clients import HttpLogClient, UsageClient, VmListClient
from wisteriagw.clocks import read_boot_time, read_wall_time
from wisteriagw.follower import CheckpointWriter, StreamFollower
from wisteriagw.leases import LeaseController, ProcessIdentity
from wisteriagw.reporter._reporter import Reporter
from wisteriagw.telemetry import Metrics
from wisteriagw.usage import (
    USAGE_CODEC,
    USAGE_STREAM,
    apply_usage_record,
    build_empty_usage,
)

if TYPE_CHECKING:
    from wisteriagw.http import HttpClient

USAGE_AUTHORITY = "usage"
INCARNATION_BYTES = 8


class ReporterContext:
    """Lease, stream follower and reporter of one process."""

    def __init__(self, settings: dict[str, Any], client: HttpClient) -> None:
        host, port = settings["listen"]
        identity = ProcessIdentity(
            settings["vm"], secrets.token_hex(INCARNATION_BYTES), f"{host}:{port}"
        )
        log = HttpLogClient(client, settings["log"])
        retention = build_retention(settings)
        self.settings = settings
        self.metrics = Metrics(settings["statsd"], "usage", settings["vm"])
        self.clock = read_boot_time
        self.vm_list = VmListClient(client, settings["vm-list"])
        self.lease = LeaseController(log, USAGE_AUTHORITY, identity, self.clock)
        self.follower = StreamFollower(
            log,
            USAGE_STREAM,
            build_empty_usage(),
            apply_usage_record,
            self.clock,
            USAGE_CODEC,
        )
        self.reporter = Reporter(
            self.lease,
            self.follower,
            log,
            UsageClient(client, settings["usage-interface"]),
            read_wall_time,
            settings["checks-fencing"] == "true",
            window_seconds=settings["usage-window-seconds"],
            grace_seconds=settings["usage-grace-seconds"],
        )
        self.checkpoints = CheckpointWriter(log, self.follower, retention, self.clock)

    def list_unreported(self) -> list[int]:
        """Return the closed windows that are not reported yet."""
        state = self.follower.state
        windows = {key.window for key in state.totals}
        return sorted(window for window in windows if window <= state.sealed_window)
