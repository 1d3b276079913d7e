"""Entry processes that exchange usage copies without a network."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from tests.support._virtual_clock import VirtualClock
from wisteriagw.clients import VmEntry
from wisteriagw.entry._entry_context import EntryContext
from wisteriagw.entry._usage_replicator import UsageReplicator
from wisteriagw.follower import StreamFollower
from wisteriagw.http import HttpClient
from wisteriagw.messages import UsageCopy, UsageCopyAck
from wisteriagw.usage import USAGE_STREAM, apply_usage_record, build_empty_usage

if TYPE_CHECKING:
    from tests.support._memory_log import MemoryLog

TICK_SECONDS = 0.5


class UsageVms:
    """The usage replicators of some VMs over one log and one clock."""

    def __init__(self, data_centres: dict[str, str], log: MemoryLog) -> None:
        self.clock = VirtualClock(600.0)
        self.contexts: dict[str, EntryContext] = {}
        self.replicators: dict[str, UsageReplicator] = {}
        self._data_centres = data_centres
        self._log = log
        self._paused: set[str] = set()
        for vm in data_centres:
            self.restart(vm)

    def restart(self, vm: str) -> None:
        """Start the process of a VM without any earlier state."""
        settings = {
            "vm": vm,
            "data-centre": self._data_centres[vm],
            "listen": ("127.0.0.1", 1),
            "vm-list": ("127.0.0.1", 1),
            "drain-seconds": 1.0,
        }
        client = HttpClient(Clock())
        context = EntryContext(settings, client, self._log, self.clock, Counter())
        context.sleep = lambda seconds: succeed(self.clock.advance(seconds))
        context.mesh = FakeMesh(self, vm)
        self.contexts[vm] = context
        self.replicators[vm] = UsageReplicator(context)
        self.set_list(set(self._data_centres))

    def set_list(self, vms: set[str]) -> None:
        """Set the VM list of every VM."""
        entries = [
            VmEntry(vm, self._data_centres[vm], "127.0.0.1", False) for vm in vms
        ]
        for context in self.contexts.values():
            context.membership.set_vm_list(entries)

    def pause(self, vm: str, *, leaves_list: bool) -> None:
        """Pause a process; messages to and from it are dropped."""
        self._paused.add(vm)
        if leaves_list:
            self.set_list(set(self._data_centres) - {vm})

    def resume(self, vm: str) -> None:
        """Resume a paused process with its state."""
        self._paused.discard(vm)
        self.set_list(set(self._data_centres))

    def run(self, seconds: float) -> None:
        """Run the loops of all processes for a time."""
        for number in range(int(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            for vm, replicator in self.replicators.items():
                if vm in self._paused:
                    continue
                self.contexts[vm].membership.tick()
                replicator.replicate()
                if number % 4 == 3:
                    replicator.append_pending()

    def deliver(self, sender: str, vm: str, message: Any) -> None:
        """Deliver a message, as the mesh does."""
        if {sender, vm} & self._paused or vm not in self.replicators:
            return
        handlers = {
            UsageCopy: self.replicators[vm].handle_copy,
            UsageCopyAck: self.replicators[vm].handle_ack,
        }
        default = self.contexts[vm].membership.handle
        handlers.get(type(message), default)(sender, message)

    def read_usage(self) -> int:
        """Return the generated tokens that the log counts."""
        follower = StreamFollower(
            self._log, USAGE_STREAM, build_empty_usage(), apply_usage_record, self.clock
        )
        follower.poll()
        return sum(row.generated_tokens for row in follower.state.totals.values())


class FakeMesh:
    """Mesh of one VM that delivers messages at once."""

    def __init__(self, vms: UsageVms, vm: str) -> None:
        self._vms = vms
        self._vm = vm

    def send(self, vm: str, message: Any) -> None:
        """Deliver a message at once."""
        self._vms.deliver(self._vm, vm, message)
