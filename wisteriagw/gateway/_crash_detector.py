"""Detection of backend servers that ended with requests open."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.connections import Reachability
from wisteriagw.gateway._background import start_background

if TYPE_CHECKING:
    from wisteriagw.connections import ConnectionPool
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._crashing_parts import CrashingParts
    from wisteriagw.gateway._decision_log import DecisionLog
    from wisteriagw.gateway._fleet_feed import FleetFeed
    from wisteriagw.gateway._lost_run import LostRun
    from wisteriagw.gateway._metrics import GatewayMetrics
    from wisteriagw.placement import WorkTable


class CrashDetector:
    """Tells the crash of a server from the loss of a connection.

    After the loss of an answer the server is probed. One that accepts connections runs
    on. One that does not respond may be cut off from this VM only, so it counts as
    ended only if another server has answered in the meantime.
    """

    def __init__(
        self,
        reactor: Any,
        pool: ConnectionPool,
        fleet: FleetFeed,
        work: WorkTable,
        log: DecisionLog,
        metrics: GatewayMetrics,
        crashing_parts: CrashingParts,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._fleet = fleet
        self._work = work
        self._log = log
        self._metrics = metrics
        self._crashing_parts = crashing_parts
        self._pending: dict[BackendServer, list[LostRun]] = {}

    def record_loss(self, server: str, run: LostRun) -> None:
        """Record a lost answer, and check whether its server has ended.

        The end of a server that was leaving is no crash.
        """
        known = self._fleet.fleet.servers.get(server)
        if known is None or known.leaving:
            return
        runs = self._pending.get(known)
        if runs is not None:
            runs.append(run)
            return
        self._pending[known] = [run]
        start_background(self._check(known), "check of a backend server")

    async def _check(self, server: BackendServer) -> None:
        lost_at = self._reactor.seconds()
        try:
            reachability = await self._pool.probe(server.address)
        finally:
            runs = self._pending.pop(server)
        crashed = reachability is Reachability.REFUSED or (
            reachability is Reachability.SILENT
            and self._work.has_any_answered(lost_at, server.name)
        )
        self._log.write(
            "crash_check",
            server=server.name,
            born=server.born,
            reachability=reachability.value,
            crashed=crashed,
            requests=[run.request_id for run in runs],
            parts=sorted({part for run in runs for part in run.parts}),
        )
        if crashed:
            self._metrics.server_crashes.labels(server.service).inc()
            crash = f"{server.name}/{server.born}"
            suspects = [(run.parts, run.came_at) for run in runs if not run.sound]
            self._crashing_parts.record_crash(crash, suspects, lost_at)
