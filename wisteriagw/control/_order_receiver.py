"""Last known state of one receiver of orders."""

from __future__ import annotations

from typing import Any

NEVER = float("-inf")


class OrderReceiver:
    """State of an engine, or the orders of the backend server interface.

    Attributes
    ----------
    state : object
        Last state read, None if there is none.
    read_at : float
        When the request for that state was sent.
    sent_at : float
        When an order was last sent, answered or timed out.
    """

    def __init__(self) -> None:
        self.state: Any = None
        self.read_at = NEVER
        self.sent_at = NEVER

    def update_state(self, state: Any, read_at: float) -> None:
        """Store a state that was read; None keeps the last one with its age."""
        if state is None:
            return
        self.state = state
        self.read_at = read_at
