"""Duties of the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw.gateway._authority_controller import AuthorityController
from wisteriagw.gateway._scaler import Scaler
from wisteriagw.gateway._stage_controller import StageController
from wisteriagw.gateway._usage_reporter import UsageReporter
from wisteriagw.platform import DutyClient, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import CallClient
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._quarantine_store import QuarantineStore
    from wisteriagw.gateway._update_exchange import UpdateExchange
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)


class AuthorityDuties:
    """Competes for the authority, and performs its duties while this VM holds it."""

    def __init__(
        self,
        context: GatewayContext,
        calls: CallClient,
        store: StoreClient,
        members: Members,
        exchange: UpdateExchange,
        incarnation: str,
        wall_clock: Callable[[], float],
        quarantines: QuarantineStore,
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
            wall_clock,
            settings.first_start,
        )
        self._scaler = Scaler(
            reactor, client, self._authority, context.configuration, context.fleet
        )
        self._stages = StageController(
            reactor,
            client,
            self._authority,
            context.configuration,
            context.fleet,
            context.work,
            context.notices.table,
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
            context.configuration.follower.measure_availability,
        )
        self._quarantines = quarantines

    def start(self) -> None:
        """Begin to compete for the authority."""
        self._authority.start()

    def stop(self) -> None:
        """Stop competing; the current term expires by itself."""
        self._authority.stop()

    def run_cycle(self) -> Deferred[None]:
        """Run one cycle of each duty."""
        return Deferred.fromCoroutine(self._run_all())

    async def _run_all(self) -> None:
        await run_safely(self._scaler.run_cycle)
        await run_safely(self._stages.run_cycle)
        await run_safely(self._reporter.run_cycle)
        await run_safely(lambda: self._quarantines.write(self._authority))


async def run_safely(run_cycle: Any) -> None:
    """Run a cycle of a duty; an unavailable store ends only this cycle."""
    try:
        await run_cycle()
    except StoreUnavailableError as error:
        logger.info("duty waits for the store: %s", error)
