"""Process that may hold an authority, with its own clock and pauses."""

from __future__ import annotations

from tests.support._virtual_clock import VirtualClock
from wisteriagw.clients import LogUnavailableError
from wisteriagw.leases import LeaseController, ProcessIdentity


class LeaseProcess:
    """Lease controller of ``fleet`` over a log in memory.

    Attributes
    ----------
    paused, clock_stopped : bool
        Whether it does not run, and whether its clock is stopped as well.
    checked : tuple or None
        Fencing number, and whether the receiver is fenced, of an order that was checked
        and not yet sent.
    lags : dict of str to float
        How far its clock had fallen behind at each of its appends, by nonce.
    started_at : dict of str to float
        Real time at which each of its appends started, by nonce.
    """

    def __init__(self, log, vm: str, incarnation: str, now: float) -> None:
        self.vm = vm
        self.clock = VirtualClock(now)
        self.paused = False
        self.clock_stopped = False
        self.checked = None
        self.lag = 0.0
        self.lags: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self._incarnation = incarnation
        identity = ProcessIdentity(vm, incarnation, "127.0.0.1:7700")
        self.controller = LeaseController(
            log, "fleet", identity, self.clock, self._make_nonce
        )

    def advance(self, seconds: float) -> None:
        """Advance the real time."""
        if self.clock_stopped:
            self.lag += seconds
            return
        self.clock.advance(seconds)

    def run_cycle(self, vms) -> None:
        """Set the VM list and run a cycle unless paused; log outages are ignored."""
        if self.paused:
            return
        self.controller.set_vms(frozenset(vms), self.clock(), self.controller.through)
        cycle = self.controller.run_cycle()
        cycle.addErrback(lambda failure: failure.trap(LogUnavailableError))

    def check(self, *, fenced: bool):
        """Return the fencing number for an order to a receiver, or None."""
        if not fenced and self.controller.list_unproved_holders():
            return None
        return self.controller.get_fencing_number()

    def _make_nonce(self) -> str:
        nonce = f"{self._incarnation}/{len(self.lags)}"
        self.lags[nonce] = self.lag
        self.started_at[nonce] = self.clock() + self.lag
        return nonce
