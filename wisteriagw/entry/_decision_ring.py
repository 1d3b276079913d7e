"""The most recent decisions of a process."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.entry._explained_decision import ExplainedDecision

MAX_DECISIONS = 1000


class DecisionRing:
    """Ring buffer of decisions for ``wisteriagw-admin explain``."""

    def __init__(self) -> None:
        self._decisions: deque[ExplainedDecision] = deque(maxlen=MAX_DECISIONS)

    def add(self, decision: ExplainedDecision) -> None:
        """Add a decision; the oldest is dropped when the ring is full."""
        self._decisions.append(decision)

    def list_newest(
        self, limit: int, request_id: str = "", customer: str = ""
    ) -> list[ExplainedDecision]:
        """Return decisions, the newest first; an empty filter matches all."""
        matching = (
            decision
            for decision in reversed(self._decisions)
            if request_id in ("", decision.request_id)
            and customer in ("", decision.customer)
        )
        return list(islice(matching, limit))
