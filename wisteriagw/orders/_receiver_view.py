"""Input of the decisions on orders."""

from __future__ import annotations

from typing import NamedTuple


class ReceiverView(NamedTuple):
    """Known state of the authority of this process and of one receiver of orders.

    Attributes
    ----------
    fencing_number : int or None
        Number to send now; None without the authority.
    checks_fencing : bool
        Whether the receiver refuses older numbers.
    unproved : bool
        Whether the end of an earlier holder is not proved.
    proved_at : float
        Since when the authority is held and every end is proved.
    granted_at : float
        Since when the authority is held.
    sent_at : float
        When the last order to the receiver was sent, answered or timed out;
        minus infinity if none was sent.
    read_at : float
        When the request was sent that read the receiver's state; minus infinity if the
        state is not known.
    """

    fencing_number: int | None
    checks_fencing: bool
    unproved: bool
    proved_at: float
    granted_at: float
    sent_at: float
    read_at: float
