"""Start-time fair queue."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.fairness._queued_request import QueuedRequest

MAX_QUEUED_PER_CUSTOMER = 256
DEFAULT_WEIGHT = 1.0


class FairQueue:
    """Bounded queues of customers, ordered by the work each customer has received.

    Each customer has a virtual time: its work divided by its weight. The customer with
    the lowest one is next. A customer that returns after a pause starts at the queue's
    virtual time, so that it gets no credit for the time without requests. Work that
    other entry VMs served for a customer advances its virtual time too.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self.weights = weights
        self.virtual_time = 0.0
        self._times: dict[str, float] = {}
        self._queues: dict[str, deque[QueuedRequest]] = {}
        self.waiting_work: dict[str, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def add(self, queued: QueuedRequest) -> bool:
        """Queue a request behind those of its priority; False if the queue is full."""
        customer = queued.request.customer
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = deque()
            started = self._times.get(customer, 0.0)
            self._times[customer] = max(started, self.virtual_time)
        if len(queue) >= MAX_QUEUED_PER_CUSTOMER:
            return False
        index = len(queue)
        while index and queue[index - 1].request.priority < queued.request.priority:
            index -= 1
        queue.insert(index, queued)
        work = self.waiting_work.get(customer, 0.0) + queued.work
        self.waiting_work[customer] = work
        return True

    def list_heads(self) -> list[QueuedRequest]:
        """Return the first request of each customer, the next one first."""
        times = self._times
        names = sorted(self._queues, key=lambda name: times[name])
        return [self._queues[name][0] for name in names]

    def remove_head(self, customer: str) -> QueuedRequest:
        """Remove the first request of a customer without a charge."""
        queue = self._queues[customer]
        queued = queue.popleft()
        self.waiting_work[customer] -= queued.work
        if not queue:
            del self._queues[customer]
            del self.waiting_work[customer]
        return queued

    def serve_head(self, customer: str) -> QueuedRequest:
        """Remove the first request of a customer and charge the customer."""
        self.virtual_time = max(self.virtual_time, self._times[customer])
        queued = self.remove_head(customer)
        self.charge(customer, queued.work)
        return queued

    def charge(self, customer: str, work: float) -> None:
        """Add work to a customer's received work; negative work corrects a charge."""
        weight = self.weights.get(customer, DEFAULT_WEIGHT)
        self._times[customer] = self._times.get(customer, 0.0) + work / weight
