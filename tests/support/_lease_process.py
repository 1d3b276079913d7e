"""Process that may hold an authority, with its own clock and pauses."""

from __future__ import annotations

from tests.support._virtual_clock import VirtualClock
from wisteriagw.clients import LogUnavailableError
from wisteriagw.leases import LeaseKeeper, ProcessIdentity


class LeaseProcess:
    """A keeper of ``fleet`` over a log in memory.

    Attributes
    ----------
    paused, stands_still : bool
        Whether it gets no turns, and whether its clock does not move either.
    checked : tuple or None
        An order that was checked and not yet sent: fencing number and receiver.
    lags : dict of str to float
        How far its clock had fallen behind at each of its appends, by nonce.
    started_at : dict of str to float
        Real time at which each of its appends started, by nonce.
    """

    def __init__(self, log, vm: str, incarnation: str, now: float) -> None:
        self.vm = vm
        self.clock = VirtualClock(now)
        self.paused = False
        self.stands_still = False
        self.checked = None
        self.lag = 0.0
        self.lags: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self._incarnation = incarnation
        identity = ProcessIdentity(vm, incarnation, "127.0.0.1:7700")
        self.keeper = LeaseKeeper(log, "fleet", identity, self.clock, self._make_nonce)

    def advance(self, seconds: float) -> None:
        """Let real time pass."""
        if self.stands_still:
            self.lag += seconds
            return
        self.clock.advance(seconds)

    def run_turn(self, vms) -> None:
        """Read the VM list and take a turn unless paused; outages are no errors."""
        if self.paused:
            return
        self.keeper.set_vms(frozenset(vms), self.clock(), self.keeper.through)
        turn = self.keeper.run_turn()
        turn.addErrback(lambda failure: failure.trap(LogUnavailableError))

    def check(self, *, fenced: bool):
        """Return the fencing number for an order to a receiver, or None."""
        if not fenced and self.keeper.find_unproved():
            return None
        return self.keeper.get_fencing_number()

    def _make_nonce(self) -> str:
        nonce = f"{self._incarnation}/{len(self.lags)}"
        self.lags[nonce] = self.lag
        self.started_at[nonce] = self.clock() + self.lag
        return nonce
