"""Simulation of VMs that exchange state updates, in virtual time."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from twisted.internet.task import Clock

from tests.support._gateway_fixture import TABLE
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._fleet_feed import FleetFeed
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._pending_updates import PendingUpdates
from wisteriagw.gateway._update_exchange import UpdateExchange
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway.notices import NoticeBoard
from wisteriagw.messages import decode_message, encode_message
from wisteriagw.placement import WorkTable
from wisteriagw.standins import TopicStore
from wisteriagw.sums import SumTable

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_SECONDS = 0.05
LINK_SECONDS = 0.05
# The clocks of VMs count from boot and have unrelated readings.
SKEW_SECONDS = 1_000.0


class SkewedClock:
    """Clock of one VM with its own origin and the common rate.

    Attributes
    ----------
    stopped : bool
        Whether the process has been killed, so that its timers have no effect.
    """

    def __init__(self, clock: Clock, skew: float) -> None:
        self.stopped = False
        self._clock = clock
        self._skew = skew

    def seconds(self) -> float:
        return self._clock.seconds() + self._skew

    def callLater(self, delay: float, function: Any, *arguments: Any) -> Any:
        return self._clock.callLater(delay, self._run, function, *arguments)

    def _run(self, function: Any, *arguments: Any) -> None:
        if not self.stopped:
            function(*arguments)


class SimulatedLinks:
    """Mesh of one VM; messages are encoded and decoded."""

    def __init__(self, fleet: SimulatedFleet, vm: str) -> None:
        self.handlers: dict[type, Any] = {}
        self.peers: set[str] = set()
        self.sent: list[tuple[str, Any]] = []
        self._fleet = fleet
        self._vm = vm

    def subscribe(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def set_peers(self, peers: Any) -> None:
        self.peers = {peer.vm for peer in peers}

    def send(self, vm: str, message: Any) -> bool:
        if vm not in self.peers:
            return False
        self.sent.append((vm, message))
        self._fleet.deliver(self._vm, vm, encode_message(message))
        return True

    def multicast(self, vms: Any, message: Any) -> None:
        for vm in vms:
            self.send(vm, message)


class SimulatedGateway:
    """State of a gateway, without callers and with idle followers of the store."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        vm: str,
        data_centre: str,
        build_store: Callable[[SkewedClock], Any] = lambda clock: TopicStore(),
        wall_clock: Callable[[], float] | None = None,
        incarnation: str = "",
    ) -> None:
        number = len(fleet.gateways)
        self.clock = SkewedClock(fleet.clock, number * SKEW_SECONDS)
        self.mesh = SimulatedLinks(fleet, vm)
        self.store = build_store(self.clock)
        self.work = WorkTable()
        self.sums = SumTable()
        self.configuration = ConfigurationFeed(
            self.clock, self.store, 5.0, lambda table: None
        )
        self.configuration.table = TABLE
        self.notices = NoticeBoard(self.clock.seconds, self.work, vm)
        self.fleet = FleetFeed(
            self.clock, self.store, lambda server: None, notices=self.notices
        )
        self.usage = UsageCounter(5.0, wall_clock or self.clock.seconds)
        self.copies = UsageCopies()
        self.member = Member(vm, data_centre, "10.0.0.1:80", "10.0.0.1", 7000, "1", 0.5)
        self.members = Members(self.clock, self.store, self.member)
        self.ready = True
        self.crashing_parts = CrashingParts(self.clock.seconds)
        settings = SimpleNamespace(
            vm=vm, data_centre=data_centre, apply_seconds=2.0, drain_seconds=2.0
        )
        self.context = SimpleNamespace(
            reactor=self.clock,
            settings=settings,
            configuration=self.configuration,
            fleet=self.fleet,
            work=self.work,
            sums=self.sums,
            usage=self.usage,
            pending_updates=PendingUpdates(self.usage),
            crashing_parts=self.crashing_parts,
            notices=self.notices,
            eras=self.store.eras,
        )
        self.exchange = UpdateExchange(
            self.context,
            self.mesh,
            self.members,
            self.copies,
            incarnation or f"process of {vm}",
            lambda: self.ready,
            usage_through_relays=True,
        )

    def read_store(self) -> None:
        """Record that both topics have just been read to their tips."""
        for follower in (self.configuration.follower, self.fleet.follower):
            follower.read_at = self.clock.seconds()

    def find_work(self, server: str) -> float:
        """Return the streams that this VM counts at a server."""
        for name, _, streams in self.work.sum_work(self.clock.seconds()):
            if name == server:
                return streams
        return 0.0


class SimulatedFleet:
    """VMs in several data centres; tests stop processes and delay links.

    Attributes
    ----------
    down : set of str
        VMs whose process does not run.
    extra_delay : dict
        Additional seconds of a link, by sender and receiver.
    """

    def __init__(self, sizes: dict[str, int]) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.gateways: dict[str, SimulatedGateway] = {}
        self.down: set[str] = set()
        self.extra_delay: dict[tuple[str, str], float] = {}
        for data_centre, count in sizes.items():
            for number in range(1, count + 1):
                self.add(f"{data_centre}-{number}", data_centre)
        for gateway in self.gateways.values():
            gateway.exchange.start()

    def add(self, vm: str, data_centre: str) -> None:
        """Register a VM with all others."""
        gateway = SimulatedGateway(self, vm, data_centre)
        for other in self.gateways.values():
            other.members.entries[vm] = gateway.member
            gateway.members.entries[other.member.vm] = other.member
        self.gateways[vm] = gateway

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after the delay of the link, unless a process is down."""
        if sender in self.down:
            return
        delay = LINK_SECONDS + self.extra_delay.get((sender, receiver), 0.0)
        self.clock.callLater(delay, self._arrive, sender, receiver, data)

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def list_relays(self, data_centre: str) -> list[str]:
        """Return the running relays of a data centre."""
        return [
            vm
            for vm, gateway in self.gateways.items()
            if gateway.member.data_centre == data_centre
            and vm not in self.down
            and gateway.exchange.peers.is_relay
        ]

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        if receiver in self.down:
            return
        message = decode_message(data, "frame")
        self.gateways[receiver].mesh.handlers[type(message)](sender, message)
