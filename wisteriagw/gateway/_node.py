"""Gateway process of one VM."""

from __future__ import annotations

import logging
import math
import random
import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from wisteriagw.clocks import SteadyWallClock, read_wall_time
from wisteriagw.connections import CallClient, ConnectionPool, ServerFactory
from wisteriagw.eras import EraTracker
from wisteriagw.gateway._authority_duties import AuthorityDuties
from wisteriagw.gateway._buffer_budgets import (
    ANSWERS_FRACTION,
    REQUESTS_FRACTION,
    RESPONSES_FRACTION,
    build_budget,
)
from wisteriagw.gateway._cache_survey import CacheSurvey
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._context import GatewayContext
from wisteriagw.gateway._crash_detector import CrashDetector
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._customer_quotas import UPDATE_INTERVAL_SECONDS
from wisteriagw.gateway._decision_log import DecisionLog
from wisteriagw.gateway._directory_handler import DirectoryHandler
from wisteriagw.gateway._engine_rate_table import EngineRateTable
from wisteriagw.gateway._fleet_feed import FleetFeed, find_read_wait
from wisteriagw.gateway._gauges import update_gauges
from wisteriagw.gateway._hedges import build_hedges
from wisteriagw.gateway._lost_usage_writer import LostUsageWriter
from wisteriagw.gateway._member import build_member, format_address
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._metrics import GatewayMetrics
from wisteriagw.gateway._pending_updates import PendingUpdates
from wisteriagw.gateway._quarantine_store import QuarantineStore
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.gateway._retry_budgets import RetryBudgets
from wisteriagw.gateway._served_usage_writer import ServedUsageWriter
from wisteriagw.gateway._shutdown_sequence import (
    ShutdownSequence,
    find_address_seconds,
)
from wisteriagw.gateway._update_exchange import UpdateExchange
from wisteriagw.gateway._urgent_ranks import UrgentRanks
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway._usage_writer import UsageWriter
from wisteriagw.gateway.notices import NoticeBoard
from wisteriagw.mesh import Mesh
from wisteriagw.placement import WorkTable
from wisteriagw.platform import EngineClient, StoreClient
from wisteriagw.routes import CallerLimits
from wisteriagw.sums import SumTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.platform import NodeSettings
    from wisteriagw.routes import RoutingTable

logger = logging.getLogger(__name__)

SWEEP_INTERVAL_SECONDS = 1.0
DUTY_INTERVAL_SECONDS = 0.5
# Counts of an ended process must be in the store before its window is sealed.
LOST_USAGE_INTERVAL_SECONDS = 0.5
SERVED_USAGE_SECONDS = 0.1
INCARNATION_BYTES = 8
LISTEN_BACKLOG = 512


class Node:
    """Builds the components of the process and runs them until it is stopped."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        metrics_port: int,
        hedge_limit: float = 0.0,
        usage_through_relays: bool = False,
    ) -> None:
        self.stopping = False
        self._hedge_limit = hedge_limit
        self._reactor = reactor
        self._settings = settings
        self._metrics_address = (settings.front[0], metrics_port)
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        wall_clock = SteadyWallClock(read_wall_time, reactor.seconds).read
        pool = ConnectionPool(reactor, build_budget(settings, ANSWERS_FRACTION))
        # A late response to a request must not be taken for that to a call.
        self._call_pool = ConnectionPool(reactor)
        calls = CallClient(reactor, self._call_pool)
        eras = EraTracker(reactor.seconds, settings.first_start)
        store = StoreClient(calls, settings.store, eras)
        self._mesh = Mesh(reactor, settings.vm)
        engines = EngineClient(calls)
        self.context = self._build_context(store, pool, engines, wall_clock)
        self._members = Members(reactor, store, build_member(settings, incarnation))
        self._copies = UsageCopies()
        self._exchange = UpdateExchange(
            self.context,
            self._mesh,
            self._members,
            self._copies,
            incarnation,
            self.is_ready,
            usage_through_relays,
        )
        self._quarantines = QuarantineStore(
            reactor, store, self.context.crashing_parts, wall_clock
        )
        self._lost_usage = LostUsageWriter(store, self._copies)
        self._served_usage = ServedUsageWriter(store, self._copies.served)
        self._duties = AuthorityDuties(
            self.context,
            calls,
            store,
            self._members,
            self._exchange,
            incarnation,
            wall_clock,
            self._quarantines,
        )
        self._survey = CacheSurvey(
            reactor,
            engines,
            self.context.fleet,
            self._members,
            settings.vm,
            self._exchange.record_cached_parts,
        )
        self._usage_writer = UsageWriter(
            reactor,
            store,
            self.context.usage,
            settings.vm,
            incarnation,
            settings.usage_window,
            wall_clock,
            settings.usage_due,
            self._is_usage_delegated,
        )
        self._requests = RequestHandler(self.context)
        self._front = ServerFactory(
            self._requests.handle,
            CallerLimits(),
            reactor.seconds,
            build_budget(settings, REQUESTS_FRACTION),
            build_budget(settings, RESPONSES_FRACTION),
        )
        self._shutdown = ShutdownSequence(
            reactor, settings, self._front, self._requests, self._usage_writer
        )
        self._directory = self._build_directory()

    def start(self) -> None:
        """Listen and start to follow the store."""
        settings = self._settings
        self._listen(settings.front, self._front)
        for address in {settings.ready, settings.directory, self._metrics_address}:
            self._listen(address, self._directory)
        self._mesh.listen(*settings.peers)
        self.context.configuration.follower.start()
        self.context.fleet.follower.start()
        self._members.register()
        self._duties.start()
        self._usage_writer.start()
        if not settings.first_start:
            self._survey.start()
            self._quarantines.start()
        self._exchange.start()
        self._repeat(SWEEP_INTERVAL_SECONDS, self._sweep)
        self._repeat(UPDATE_INTERVAL_SECONDS, self._update_quotas)
        self._repeat(LOST_USAGE_INTERVAL_SECONDS, lambda: self._write(self._lost_usage))
        self._repeat(SERVED_USAGE_SECONDS, lambda: self._write(self._served_usage))
        self._repeat(DUTY_INTERVAL_SECONDS, self._duties.run_cycle)
        logger.info("VM %s in %s started", settings.vm, settings.data_centre)

    def is_ready(self) -> bool:
        """Return whether callers shall use this VM."""
        return not self.stopping and self.context.configuration.is_fresh()

    async def stop(self) -> None:
        """Stop accepting callers, finish open requests and write the usage."""
        logger.info("stopping, %d requests are open", self._front.count_busy())
        self.stopping = True
        self._duties.stop()
        self._members.leave()
        self._exchange.send()
        await self._shutdown.run(self.context.usage.get_window)

    def _build_context(
        self,
        store: StoreClient,
        pool: ConnectionPool,
        engines: EngineClient,
        wall_clock: Callable[[], float],
    ) -> GatewayContext:
        reactor, settings = self._reactor, self._settings
        usage = UsageCounter(settings.usage_window, wall_clock)
        work, sums = WorkTable(), SumTable()
        notices = NoticeBoard(reactor.seconds, work, settings.vm)
        fleet = FleetFeed(
            reactor,
            store,
            self._remove_server,
            find_read_wait(settings.contact_seconds, settings.drain_seconds),
            notices,
        )
        log, metrics = DecisionLog(reactor.seconds), GatewayMetrics()
        crashing_parts = CrashingParts(reactor.seconds)
        return GatewayContext(
            reactor,
            settings,
            ConfigurationFeed(
                reactor, store, settings.withdrawal_seconds, self._apply_table
            ),
            fleet,
            pool,
            work,
            EngineRateTable(),
            RetryBudgets(settings),
            usage,
            PendingUpdates(usage),
            log,
            metrics,
            crashing_parts,
            CrashDetector(reactor, pool, fleet, work, log, metrics, crashing_parts),
            notices,
            random.random,
            store.eras,
            engines,
            sums,
            UrgentRanks(),
            build_hedges(self._hedge_limit, settings.retry_window, sums),
        )

    def _build_directory(self) -> ServerFactory:
        handler = DirectoryHandler(
            format_address(self._settings.front),
            self._members,
            self.context.metrics,
            self.is_ready,
            self._reactor.seconds,
            find_address_seconds(self._settings),
        )
        return ServerFactory(handler.handle, CallerLimits(), self._reactor.seconds)

    def _listen(self, address: tuple[str, int], factory: ServerFactory) -> None:
        host, port = address
        self._reactor.listenTCP(port, factory, LISTEN_BACKLOG, interface=host)

    def _repeat(self, seconds: float, function: Any) -> None:
        loop = LoopingCall(function)
        loop.clock = self._reactor
        loop.start(seconds, now=False).addErrback(
            lambda failure: logger.error(
                "periodic task failed: %s", failure.getTraceback()
            )
        )

    def _apply_table(self, table: RoutingTable) -> None:
        self._front.limits = table.limits

    def _remove_server(self, server: BackendServer) -> None:
        self.context.work.remove_server(server.name)
        self.context.pool.close_address(server.address)
        self._call_pool.close_address(server.address)

    def _update_quotas(self) -> None:
        members = self._members
        ages = members.list_ages(self._reactor.seconds(), ready=True)
        known = math.isfinite(members.follower.read_at)
        registered = len(members.entries) if known else 0
        self._requests.quotas.update([age for *_, age in ages], registered)

    def _write(self, writer: Any) -> Deferred[None]:
        return Deferred.fromCoroutine(writer.run_cycle(self._reactor.seconds()))

    def _is_usage_delegated(self) -> bool:
        return not self.stopping and bool(self.context.pending_updates.usage_relay)

    def _sweep(self) -> None:
        context = self.context
        context.pool.close_idle()
        self._call_pool.close_idle()
        self._copies.prune(context.usage.get_window())
        self._front.close_idle()
        self._directory.close_idle()
        context.crashing_parts.expire()
        context.notices.expire(context.fleet.fleet.servers)
        vms = len(self._members.list_alive(self._reactor.seconds()))
        context.budgets.set_vm_count(max(vms, len(self._members.entries)))
        update_gauges(context, vms, self._front)
