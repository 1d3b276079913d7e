"""Mesh of simulated VMs on virtual clocks."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from tests.support._simulated_vm import SimulatedVm, start_vm
from wisteriagw.clients import VmEntry
from wisteriagw.membership import HEARTBEAT_SECONDS
from wisteriagw.standins._log_store import LogStore

if TYPE_CHECKING:
    from collections.abc import Iterable

STEP_SECONDS = 0.25
LOG_POLL_SECONDS = 0.5
# Clocks of the VMs differ by hours and drift by up to 100 parts per million.
SKEW_SECONDS = 5000.0
DRIFT = 5e-5


class SimulatedMesh:
    """VMs with links, a log and processes into which a test injects faults.

    Messages over a cut link are delivered once it heals, as by TCP; those for a paused
    process wait in its inbox.
    """

    def __init__(
        self, vms: int, data_centres: int = 1, step: float = STEP_SECONDS
    ) -> None:
        self.step_seconds = step
        self.now = 1000.0
        self.store = LogStore(1_000_000)
        self.cut_links: set[tuple[str, str]] = set()
        self.cut_off_log: set[str] = set()
        self.log_down = False
        self.paused: set[str] = set()
        self.waiting: list[tuple[str, str, Any]] = []
        self.steps = 0
        self.entries = tuple(
            VmEntry(f"vm-{n}", f"dc{n % data_centres}", "127.0.0.1", leaving=False)
            for n in range(vms)
        )
        self.vms: dict[str, SimulatedVm] = {}
        for entry in self.entries:
            self.restart(entry.name)

    def restart(self, name: str) -> None:
        """Replace a process by a new one without any state."""
        entry = next(entry for entry in self.entries if entry.name == name)
        number = self.entries.index(entry)
        clock = partial(self._read_clock, number)
        send = partial(self._send, name)
        incarnation = int(self.now * 1000)
        vm = start_vm(name, entry.data_centre, self.store, clock, send, incarnation)
        vm.membership.set_vm_list(self.entries)
        self.paused.discard(name)
        self.waiting = [item for item in self.waiting if item[1] != name]
        self.vms[name] = vm

    def cut(self, group: Iterable[str]) -> None:
        """Cut the links between a group and all others, in both directions."""
        inside = set(group)
        for one in self.vms:
            for other in self.vms:
                if (one in inside) != (other in inside):
                    self.cut_links.add((one, other))

    def heal(self) -> None:
        """Heal all links; delayed messages are delivered."""
        self.cut_links.clear()

    def run(self, seconds: float, check: Any = None) -> None:
        """Advance the time in steps; ``check`` is called after each of them."""
        for _ in range(round(seconds / self.step_seconds)):
            self.now += self.step_seconds
            self.steps += 1
            self._step()
            if check is not None:
                check()

    def list_serving(self) -> set[str]:
        """Return the running VMs that hold a permit."""
        return {
            name
            for name, vm in self.vms.items()
            if name not in self.paused and vm.membership.get_permit().held
        }

    def _step(self) -> None:
        self._deliver()
        poll_steps = int(LOG_POLL_SECONDS / self.step_seconds)
        tick_steps = int(HEARTBEAT_SECONDS / self.step_seconds)
        for number, (name, vm) in enumerate(self.vms.items()):
            vm.log.down = self.log_down or name in self.cut_off_log
            if name in self.paused:
                continue
            inbox, vm.inbox[:] = list(vm.inbox), []
            for sender, message in inbox:
                vm.membership.handle(sender, message)
            if self.steps % poll_steps == 0:
                vm.membership.follower.poll().addErrback(lambda _: None)
            if (self.steps + number) % tick_steps == 0:
                vm.membership.tick()

    def _deliver(self) -> None:
        held = []
        for sender, target, message in self.waiting:
            if (sender, target) in self.cut_links:
                held.append((sender, target, message))
                continue
            if target in self.vms:
                self.vms[target].inbox.append((sender, message))
        self.waiting = held

    def _send(self, sender: str, target: str, message: Any) -> None:
        self.waiting.append((sender, target, message))

    def _read_clock(self, number: int) -> float:
        return number * SKEW_SECONDS + self.now * (1 + DRIFT * (number % 3 - 1))
