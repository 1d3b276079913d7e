"""Duties of the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw.gateway._authority_controller import AuthorityController
from wisteriagw.gateway._scaler import Scaler
from wisteriagw.gateway._stage_keeper import StageKeeper
from wisteriagw.gateway._usage_reporter import UsageReporter
from wisteriagw.platform import DutyClient, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import CallClient
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._update_exchange import UpdateExchange
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)


class Duties:
    """Takes part in the authority, and does its duties while this VM holds it."""

    def __init__(
        self,
        context: GatewayContext,
        calls: CallClient,
        store: StoreClient,
        members: Members,
        exchange: UpdateExchange,
        incarnation: str,
        wall_clock: Callable[[], float],
    ) -> None:
        reactor, settings = context.reactor, context.settings
        client = DutyClient(calls, settings.duties, settings.vm)
        self._authority = AuthorityController(
            reactor,
            store,
            settings.vm,
            incarnation,
            settings.lease_seconds,
            lambda: members.list_alive(reactor.seconds()),
        )
        self._scaler = Scaler(
            reactor, client, self._authority, context.configuration, context.fleet
        )
        self._stages = StageKeeper(
            reactor,
            client,
            self._authority,
            context.configuration,
            context.fleet,
            context.work,
            exchange.announce_unavailable,
        )
        self._reporter = UsageReporter(
            store,
            client,
            self._authority,
            settings,
            wall_clock,
            exchange.get_copies,
            lambda: members.entries,
        )

    def start(self) -> None:
        """Take part in the authority."""
        self._authority.start()

    def stop(self) -> None:
        """End taking part; the term runs out by itself."""
        self._authority.stop()

    def run_turn(self) -> Deferred[None]:
        """Do what is due."""
        return Deferred.fromCoroutine(self._run_all())

    async def _run_all(self) -> None:
        await run_safely(self._scaler.run_turn)
        await run_safely(self._stages.run_turn)
        await run_safely(self._reporter.run_turn)


async def run_safely(turn: Any) -> None:
    """Run a turn of a duty; a store that is away ends only this turn."""
    try:
        await turn()
    except StoreUnavailableError as error:
        logger.info("duty waits for the store: %s", error)
