"""Fake plain service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from wisteriagw.routing import LoadReport

if TYPE_CHECKING:
    from wisteriagw.measure._attempt import Attempt
    from wisteriagw.measure._event_queue import EventQueue

SERVICE_SLOTS = 4
MEAN_SERVICE_SECONDS = 0.3


class FakeService:
    """Plain service with a limited number of concurrent calls and a queue."""

    def __init__(self, name: str, data_centre: str, *, reclaimable: bool) -> None:
        self.name = name
        self.data_centre = data_centre
        self.serves = "service"
        self.role = "service"
        self.reclaimable = reclaimable
        self.up = True
        self.leaving = False
        self.waiting: deque[Attempt] = deque()
        self.running: dict[Attempt, None] = {}
        self.generated: dict[str, int] = {}
        self.work_done = 0.0
        self.events: EventQueue

    def accept(self, attempt: Attempt) -> None:
        """Queue a call, or notify its owner that it was not run."""
        if not self.up:
            attempt.refused_by = self.name
            attempt.owner.handle_refusal(attempt)
            return
        attempt.server = self
        self.waiting.append(attempt)
        self._start_next()

    def count_requests(self) -> int:
        """Return the number of waiting and running calls."""
        return len(self.waiting) + len(self.running)

    def build_report(self) -> LoadReport:
        """Return a report of the current load."""
        return LoadReport(self.name, self.events.now, 0.0, self.count_requests())

    def remove_all(self) -> list[tuple[Attempt, int]]:
        """Remove all attempts; none of them has generated tokens."""
        removed = [(attempt, 0) for attempt in (*self.waiting, *self.running)]
        self.waiting.clear()
        self.running.clear()
        return removed

    def clear_cache(self) -> None:
        """Do nothing: a service has no prefix cache."""

    def _start_next(self) -> None:
        while self.waiting and len(self.running) < SERVICE_SLOTS:
            attempt = self.waiting.popleft()
            self.running[attempt] = None
            attempt.trace.runs += 1
            seconds = attempt.trace.request.service_seconds
            self.work_done += seconds / SERVICE_SLOTS
            self.events.add(seconds, self._end, attempt)

    def _end(self, attempt: Attempt) -> None:
        if attempt not in self.running:
            return
        del self.running[attempt]
        customer = attempt.trace.request.customer
        self.generated[customer] = self.generated.get(customer, 0) + 1
        attempt.owner.handle_first_token(attempt)
        attempt.owner.handle_end(attempt, 1)
        self._start_next()
