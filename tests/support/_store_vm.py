"""One VM of a simulated fleet, with everything that calls the store."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from tests.support._counted_calls import CountedCalls
from tests.support._gateway_fixture import SETTINGS
from tests.support._simulated_fleet import SimulatedGateway
from wisteriagw.gateway._authority_controller import AuthorityController
from wisteriagw.gateway._lost_usage_writer import LostUsageWriter
from wisteriagw.gateway._node import (
    DUTY_INTERVAL_SECONDS,
    LOST_USAGE_INTERVAL_SECONDS,
    SERVED_USAGE_SECONDS,
)
from wisteriagw.gateway._quarantine_store import QuarantineStore
from wisteriagw.gateway._served_usage_writer import ServedUsageWriter
from wisteriagw.gateway._usage_reporter import UsageReporter
from wisteriagw.gateway._usage_writer import UsageWriter
from wisteriagw.platform import StoreClient, StoreUnavailableError

if TYPE_CHECKING:
    from tests.support._store_fleet import StoreFleet

TERM_SECONDS = 3.0
SWEEP_SECONDS = 1.0
ADDRESS = ("127.0.0.1", 1)


class StoreVm:
    """A process as ``Node`` builds it, without callers, backend servers and orders.

    Attributes
    ----------
    stopping : bool
        Whether the process has received the signal to stop.
    wall_offset : float
        Seconds by which the wall clock of the VM is ahead.
    """

    def __init__(
        self, fleet: StoreFleet, vm: str, data_centre: str, incarnation: str
    ) -> None:
        self.stopping = False
        self.wall_offset = 0.0

        def wall_clock() -> float:
            return fleet.clock.seconds() + self.wall_offset

        def build_store(clock: Any) -> StoreClient:
            self.calls = CountedCalls(clock, fleet.server, fleet.calls)
            return StoreClient(self.calls, ADDRESS)

        self.gateway = gateway = SimulatedGateway(
            fleet, vm, data_centre, build_store, wall_clock, incarnation
        )
        store, clock, members = gateway.store, gateway.clock, gateway.members
        gateway.configuration.table = None
        self.authority = AuthorityController(
            clock,
            store,
            vm,
            incarnation,
            TERM_SECONDS,
            lambda: members.list_alive(clock.seconds()),
            wall_clock,
        )
        self.reporter = UsageReporter(
            store,
            SimpleNamespace(report_usage=fleet.report_usage),
            self.authority,
            SETTINGS,
            wall_clock,
            gateway.exchange.get_copies,
            lambda: members.entries,
            gateway.configuration.follower.measure_availability,
        )
        self.writer = UsageWriter(
            clock,
            store,
            gateway.usage,
            vm,
            incarnation,
            SETTINGS.usage_window,
            wall_clock,
            SETTINGS.usage_due,
            self._is_usage_delegated,
        )
        self.served_usage = ServedUsageWriter(store, gateway.copies.served)
        self.lost_usage = LostUsageWriter(store, gateway.copies)
        self.quarantines = QuarantineStore(
            clock, store, gateway.crashing_parts, wall_clock
        )

    def start(self) -> None:
        """Start everything in the order of ``Node.start``."""
        gateway = self.gateway
        gateway.configuration.follower.start()
        gateway.fleet.follower.start()
        gateway.members.register()
        self.authority.start()
        self.writer.start()
        self.quarantines.start()
        gateway.exchange.start()
        self.repeat(SWEEP_SECONDS, self._sweep)
        self.repeat(LOST_USAGE_INTERVAL_SECONDS, self._write_lost_usage)
        self.repeat(SERVED_USAGE_SECONDS, self._write_served_usage)
        self.repeat(DUTY_INTERVAL_SECONDS, self._report)

    def repeat(self, seconds: float, function: Any) -> None:
        """Call a function periodically while the process runs."""
        loop = LoopingCall(function)
        loop.clock = self.gateway.clock
        loop.start(seconds, now=False)

    def _sweep(self) -> None:
        self.gateway.copies.prune(self.gateway.usage.get_window())

    def _write_lost_usage(self) -> Deferred:
        now = self.gateway.clock.seconds()
        return Deferred.fromCoroutine(self.lost_usage.run_cycle(now))

    def _is_usage_delegated(self) -> bool:
        relay = self.gateway.context.pending_updates.usage_relay
        return relay is not None and not self.stopping

    def _write_served_usage(self) -> Deferred:
        now = self.gateway.clock.seconds()
        return Deferred.fromCoroutine(self.served_usage.run_cycle(now))

    async def _run_duties(self) -> None:
        try:
            await self.reporter.run_cycle()
        except StoreUnavailableError:
            # The next cycle tries again, as in AuthorityDuties.
            return

    def _report(self) -> Deferred:
        return Deferred.fromCoroutine(self._run_duties())
