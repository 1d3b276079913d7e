"""Fair sharing between customers by the work they cause."""

from __future__ import annotations

from wisteriagw.fairness._fair_queue import FairQueue
from wisteriagw.fairness._queued_request import QueuedRequest
from wisteriagw.fairness._refusal import Refusal
from wisteriagw.fairness._share_meter import ShareMeter
from wisteriagw.fairness._work_cost import WorkCost, compute_work

__all__ = [
    "FairQueue",
    "QueuedRequest",
    "Refusal",
    "ShareMeter",
    "WorkCost",
    "compute_work",
]
