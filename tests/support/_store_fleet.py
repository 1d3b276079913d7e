"""VMs that exchange updates and share one store, in virtual time."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from tests.support._gateway_fixture import SETTINGS
from tests.support._simulated_fleet import SimulatedFleet
from tests.support._store_vm import StoreVm
from wisteriagw.messages import decode_message
from wisteriagw.outcomes import Done
from wisteriagw.platform import CONFIGURATION_KEY, CONFIGURATION_TOPIC
from wisteriagw.standins._store_server import StoreServer

if TYPE_CHECKING:
    from collections.abc import Callable

CUSTOMERS = ("t-1", "t-2", "t-3")
# Requests of each VM are counted at this interval.
REQUEST_INTERVAL_SECONDS = 0.5


class StoreFleet(SimulatedFleet):
    """VMs with everything that calls the store; tests stop processes and calls.

    Attributes
    ----------
    calls : Counter
        Calls to the store by topic and kind.
    truth : dict of int to Counter
        Requests that ran, by window and customer.
    reports : dict of int to dict
        Reported figures by window.
    idle : set of str
        VMs that receive no requests.
    drops : callable or None
        ``drops(sender, receiver, message)`` says whether a message is lost.
    """

    def __init__(self, sizes: dict[str, int]) -> None:
        self.calls: Counter = Counter()
        self.truth: dict[int, Counter] = {}
        self.reports: dict[int, dict[str, int]] = {}
        self.drops: Callable[[str, str, Any], bool] | None = None
        self.idle: set[str] = set()
        self.vms: dict[str, StoreVm] = {}
        self._processes = 0
        super().__init__({})
        self.server = StoreServer(self.clock)
        configuration = {
            "version": 3,
            "routes": [],
            "services": [],
            "tenants": [{"name": name, "api_keys": [name]} for name in CUSTOMERS],
        }
        value = json.dumps(configuration).encode()
        self.server.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)
        for data_centre, count in sizes.items():
            for number in range(1, count + 1):
                self.start_vm(f"{data_centre}-{number}", data_centre)
        requests = LoopingCall(self._run_requests)
        requests.clock = self.clock
        requests.start(REQUEST_INTERVAL_SECONDS)

    def start_vm(self, vm: str, data_centre: str) -> None:
        """Start a process on a VM, without any earlier state."""
        self._processes += 1
        started = StoreVm(self, vm, data_centre, f"process {self._processes}")
        self.vms[vm] = started
        self.gateways[vm] = started.gateway
        self.down.discard(vm)
        started.start()

    def kill(self, vm: str) -> None:
        """End the process of a VM at once."""
        self.vms[vm].gateway.clock.stopped = True
        self.down.add(vm)

    def restart(self, vm: str) -> None:
        """Kill the process of a VM and start another one."""
        self.kill(vm)
        self.start_vm(vm, self.gateways[vm].member.data_centre)

    def count(self, vm: str, customer: str) -> None:
        """Run a request of a customer."""
        usage = self.gateways[vm].usage
        usage.count(customer)
        self.truth.setdefault(usage.get_window(), Counter())[customer] += 1

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message unless it is dropped."""
        if self.drops is not None:
            message = decode_message(data, "frame")
            if self.drops(sender, receiver, message):
                return
        super().deliver(sender, receiver, data)

    async def report_usage(self, window: int, counts: Any, number: int) -> Done:
        """Take a report, as the platform does; two of one window must not differ."""
        assert self.reports.setdefault(window, dict(counts)) == counts
        return Done(200, b"")

    def advance_to_window(self, offset: float) -> int:
        """Advance to a time after the start of the next window; return the window."""
        seconds = SETTINGS.usage_window
        window = int(self.clock.seconds() // seconds) + 1
        self.advance(window * seconds + offset - self.clock.seconds())
        return window

    def find_first_relay(self, data_centre: str) -> str:
        """Return the relay to which the other VMs of a data centre send first."""
        others = [
            gateway.exchange.peers.relays[0]
            for vm, gateway in self.gateways.items()
            if vm not in self.down
            and gateway.member.data_centre == data_centre
            and not gateway.exchange.peers.is_relay
        ]
        assert len(set(others)) == 1
        return others[0]

    def _run_requests(self) -> None:
        for vm in self.gateways:
            if vm not in self.down | self.idle:
                for customer in CUSTOMERS:
                    self.count(vm, customer)
