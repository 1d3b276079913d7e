"""Gateway process of one VM."""

from __future__ import annotations

import logging
import random
import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from wisteriagw.clocks import SteadyWallClock, read_wall_time
from wisteriagw.connections import CallClient, ConnectionPool, ServerFactory
from wisteriagw.gateway._authority_keeper import AuthorityKeeper
from wisteriagw.gateway._cache_survey import CacheSurvey
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._context import GatewayContext
from wisteriagw.gateway._decision_log import DecisionLog
from wisteriagw.gateway._directory_handler import ADDRESS_SECONDS, DirectoryHandler
from wisteriagw.gateway._fleet_feed import FleetFeed
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._metrics import GatewayMetrics
from wisteriagw.gateway._peer_news import PeerNews
from wisteriagw.gateway._rates_book import RatesBook
from wisteriagw.gateway._request_handler import RequestHandler
from wisteriagw.gateway._retry_budgets import RetryBudgets
from wisteriagw.gateway._scaler import Scaler
from wisteriagw.gateway._stage_keeper import StageKeeper
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS, UsageCounter
from wisteriagw.gateway._usage_reporter import UsageReporter, run_safely
from wisteriagw.gateway._usage_writer import UsageWriter
from wisteriagw.mesh import Mesh
from wisteriagw.messages import GatewayNews
from wisteriagw.placement import WorkTable
from wisteriagw.platform import DutyClient, EngineClient, StoreClient
from wisteriagw.routes import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.platform import NodeSettings
    from wisteriagw.routes import RoutingTable

logger = logging.getLogger(__name__)

NEWS_SECONDS = 0.1
# Above this many VMs each sends more rarely, so that the messages that a VM gets in a
# second stay the same.
VMS_AT_FULL_RATE = 12
# Work of a peer counts while not more than so many of its messages are missing.
PEER_WORK_INTERVALS = 5.0
# A peer is up while it is heard within this time, or within so many intervals.
HEARD_SECONDS = 1.0
HEARD_INTERVALS = 3.0
SWEEP_SECONDS = 1.0
DUTY_SECONDS = 0.5
INCARNATION_BYTES = 8
# Before the kill that follows the signal to stop.
EXIT_MARGIN_SECONDS = 0.7
BUSY_CHECK_SECONDS = 0.1
# Callers that were told of this VM go on using it for up to three times the time that
# the answer may be kept.
LINGER_FACTOR = 3.0
LISTEN_BACKLOG = 512


class Node:
    """Builds the parts of the process and runs them until it is told to stop."""

    def __init__(self, reactor: Any, settings: NodeSettings, metrics_port: int) -> None:
        self.stopping = False
        self._reactor = reactor
        self._started_at = reactor.seconds()
        self._settings = settings
        self._metrics_address = (settings.front[0], metrics_port)
        self._loops: list[LoopingCall] = []
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._pool = ConnectionPool(reactor)
        calls = CallClient(reactor, self._pool)
        self._store = StoreClient(calls, settings.store)
        self._work = WorkTable()
        self._mesh = Mesh(reactor, settings.vm)
        self._members = Members(
            reactor,
            self._store,
            self._mesh,
            build_member(settings, incarnation),
            self._tell_parts,
        )
        self._configuration = ConfigurationFeed(
            reactor, self._store, settings.withdrawal_seconds, self._apply
        )
        self._fleet = FleetFeed(reactor, self._store, self._forget_server)
        wall_clock = SteadyWallClock(read_wall_time, reactor.seconds).read
        self._incarnation = incarnation
        self._copies = UsageCopies()
        self._usage = UsageCounter(settings.usage_window, wall_clock)
        self._usage_writer = UsageWriter(
            reactor,
            self._store,
            self._usage,
            settings.vm,
            incarnation,
            settings.usage_window,
            wall_clock,
        )
        self._authority = AuthorityKeeper(
            reactor,
            self._store,
            settings.vm,
            incarnation,
            settings.lease_seconds,
            lambda: self._members.list_heard(reactor.seconds()),
        )
        duties = DutyClient(calls, settings.duties, settings.vm)
        self._reporter = UsageReporter(
            self._store,
            duties,
            self._authority,
            settings,
            wall_clock,
            self._get_copies,
            lambda: self._members.entries,
        )
        self._scaler = Scaler(
            reactor, duties, self._authority, self._configuration, self._fleet
        )
        self._stages = StageKeeper(
            reactor,
            duties,
            self._authority,
            self._configuration,
            self._fleet,
            self._work,
            self._announce_away,
        )
        self._survey = CacheSurvey(
            reactor,
            EngineClient(calls),
            self._fleet,
            self._members,
            settings.vm,
            self._take_survey,
        )
        self.context = GatewayContext(
            reactor,
            settings,
            self._configuration,
            self._fleet,
            self._pool,
            self._work,
            RatesBook(),
            RetryBudgets(settings),
            self._usage,
            PeerNews(incarnation, self._usage),
            DecisionLog(reactor.seconds),
            GatewayMetrics(),
            random.random,
        )
        self._front = ServerFactory(
            RequestHandler(self.context).handle, CallerLimits(), reactor.seconds
        )
        directory = DirectoryHandler(
            format_address(settings.front),
            self._members,
            self.context.metrics,
            self.is_ready,
            reactor.seconds,
            settings.address_seconds,
        )
        self._directory = ServerFactory(
            directory.handle, CallerLimits(), reactor.seconds
        )
        self._mesh.subscribe(GatewayNews, self._take_news)

    def start(self) -> None:
        """Listen and start to follow the store."""
        settings = self._settings
        self._listen(settings.front, self._front)
        for address in {settings.ready, settings.directory, self._metrics_address}:
            self._listen(address, self._directory)
        self._mesh.listen(*settings.peers)
        self._configuration.follower.start()
        self._fleet.follower.start()
        self._members.register()
        self._authority.start()
        self._usage_writer.start()
        if not settings.first_start:
            self._survey.start()
        self._repeat_news()
        self._repeat(SWEEP_SECONDS, self._sweep)
        self._repeat(DUTY_SECONDS, self._run_duties)
        logger.info("VM %s in %s started", settings.vm, settings.data_centre)

    def is_ready(self) -> bool:
        """Return whether callers shall use this VM."""
        return not self.stopping and self._configuration.is_fresh()

    async def stop(self) -> None:
        """Take no new callers, finish the work and write what must last."""
        started = self._reactor.seconds()
        logger.info("stopping, %d requests are open", self._front.count_busy())
        self.stopping = True
        self._front.closing = True
        self._authority.stop()
        self._members.leave()
        self._send_news()
        grace = self._settings.shutdown_seconds - EXIT_MARGIN_SECONDS
        linger = min(grace, LINGER_FACTOR * ADDRESS_SECONDS)
        while True:
            passed = self._reactor.seconds() - started
            if passed >= grace:
                break
            if passed >= linger and not self._front.count_busy():
                break
            await deferLater(self._reactor, BUSY_CHECK_SECONDS)
        writing = Deferred.fromCoroutine(self._write_last_usage())
        writing.addTimeout(EXIT_MARGIN_SECONDS / 2, self._reactor)
        try:
            await writing
        except Exception as error:
            logger.warning("usage is lost at the end: %s", error)
        logger.info("stopped with %d open requests", self._front.count_busy())

    async def _write_last_usage(self) -> None:
        await self._usage_writer.write(self._usage.get_window() + 1)

    def _get_copies(self, window: int) -> dict[str, dict[str, int]]:
        own = [row for row in self._usage.list_rows(KEPT_WINDOWS) if row[0] == window]
        self._copies.take(self._incarnation, own)
        self._copies.prune(window)
        return self._copies.get(window)

    def _listen(self, address: tuple[str, int], factory: ServerFactory) -> None:
        host, port = address
        self._reactor.listenTCP(port, factory, LISTEN_BACKLOG, interface=host)

    def _repeat(self, seconds: float, function: Any) -> None:
        loop = LoopingCall(function)
        loop.clock = self._reactor
        loop.start(seconds, now=False).addErrback(
            lambda failure: logger.error("loop ended: %s", failure.getTraceback())
        )
        self._loops.append(loop)

    def _apply(self, table: RoutingTable) -> None:
        self._front.limits = table.limits

    def _forget_server(self, server: BackendServer) -> None:
        self._work.forget(server.name)
        self._pool.close_address(server.address)

    def _send_news(self) -> None:
        now = self._reactor.seconds()
        news = self.context.news.take(
            self.is_ready(),
            now - self._started_at,
            self._work.list_own(),
            self._work.take_results(now),
        )
        self._mesh.broadcast(news)

    def _take_news(self, sender: str, news: GatewayNews) -> None:
        now = self._reactor.seconds()
        self._work.note_peer(sender, news.work, now)
        self._copies.take(news.incarnation, news.usage)
        for server, failures, answers in news.results:
            self._work.note_results(server, failures, answers, now)
        for server, seconds in news.away:
            self._work.note_away(server, now + seconds)
        for server, part, tokens in news.parts:
            self._note_parts(server, ((part, tokens),))

    def _note_parts(
        self, server: str, parts: Iterable[tuple[str, int]]
    ) -> list[tuple[str, int]]:
        known = self._fleet.fleet.servers.get(server)
        table = self._configuration.table
        service = table.services.get(known.service) if known and table else None
        if service is None or service.engine is None:
            return []
        capacity = service.engine.capacity_tokens
        return self._work.parts.note_use(server, parts, capacity)

    def _take_survey(self, server: BackendServer, parts: list[tuple[str, int]]) -> None:
        self.context.news.note_parts(server.name, self._note_parts(server.name, parts))

    def _tell_parts(self) -> None:
        self.context.news.repeat_parts(self._work.parts.list_parts())

    def _repeat_news(self) -> None:
        self._send_news()
        interval = find_news_interval(len(self._members.entries))
        self._work.peer_work_seconds = PEER_WORK_INTERVALS * interval
        self._members.heard_seconds = max(HEARD_SECONDS, HEARD_INTERVALS * interval)
        self._reactor.callLater(interval, self._repeat_news)

    def _announce_away(self, server: str, seconds: float) -> None:
        self._work.note_away(server, self._reactor.seconds() + seconds)
        self.context.news.note_away(server, seconds)
        self._send_news()

    def _sweep(self) -> None:
        self._pool.close_idle()
        self._front.close_idle()
        self._directory.close_idle()
        vms = len(self._members.list_heard(self._reactor.seconds()))
        self.context.budgets.set_vms(max(vms, len(self._members.entries)))
        metrics = self.context.metrics
        metrics.vms.set(vms)
        metrics.backend_servers.set(len(self._fleet.fleet.servers))
        metrics.configuration_age.set(min(self._configuration.get_age(), 1e6))

    def _run_duties(self) -> Deferred[None]:
        return Deferred.fromCoroutine(self._run_both())

    async def _run_both(self) -> None:
        await run_safely(self._scaler.run_turn)
        await run_safely(self._stages.run_turn)
        await run_safely(self._reporter.run_turn)


def find_news_interval(vms: int) -> float:
    """Return the seconds between two messages to the peers."""
    return NEWS_SECONDS * max(1.0, vms / VMS_AT_FULL_RATE)


def build_member(settings: NodeSettings, incarnation: str) -> Member:
    """Return the entry of this VM."""
    host, port = settings.peers
    return Member(
        settings.vm,
        settings.data_centre,
        format_address(settings.front),
        host,
        port,
        incarnation,
    )


def format_address(address: tuple[str, int]) -> str:
    """Return ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"
