"""Fleet authority of this process, with the times that decisions on orders need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.orders import ReceiverView

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.control._order_receiver import OrderReceiver
    from wisteriagw.leases import LeaseController


class FleetAuthority:
    """Tracks since when the authority is held and all earlier ends are proved."""

    def __init__(self, lease: LeaseController, clock: Callable[[], float]) -> None:
        self.lease = lease
        self._clock = clock
        self._granted: tuple[int, float] | None = None
        self._proved_at: float | None = None

    def refresh(self) -> None:
        """Update the times from the last read of the log."""
        number = self.lease.get_fencing_number()
        if number is None:
            self._granted = self._proved_at = None
            return
        if self._granted is None or self._granted[0] != number:
            self._granted = (number, self._clock())
            self._proved_at = None
        if self.lease.list_unproved_holders():
            self._proved_at = None
        elif self._proved_at is None:
            self._proved_at = self._clock()

    def build_receiver_view(
        self, receiver: OrderReceiver, *, checks_fencing: bool
    ) -> ReceiverView:
        """Return the input of the decisions on orders to a receiver."""
        self.refresh()
        now = self._clock()
        granted_at = now if self._granted is None else self._granted[1]
        return ReceiverView(
            fencing_number=None if self._granted is None else self._granted[0],
            checks_fencing=checks_fencing,
            unproved=self._proved_at is None,
            proved_at=now if self._proved_at is None else self._proved_at,
            granted_at=granted_at,
            sent_at=receiver.sent_at,
            read_at=receiver.read_at,
        )
