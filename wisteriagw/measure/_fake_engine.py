"""Fake model engine."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from wisteriagw.measure._engine_role_model import (
    BASE_STEP_SECONDS,
    PREFILL_TOKEN_SECONDS,
    ROLE_MODELS,
    STREAM_STEP_SECONDS,
)
from wisteriagw.routing import PREFIX_BLOCK_TOKENS, CacheEvent, LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.measure._attempt import Attempt
    from wisteriagw.measure._event_queue import EventQueue

CACHE_BLOCKS = 400


class FakeEngine:
    """Continuous batching in virtual time, with a prefix cache in limited memory."""

    def __init__(
        self, name: str, data_centre: str, role: str, *, reclaimable: bool
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.serves = "model"
        self.role = role
        self.reclaimable = reclaimable
        self.up = True
        self.leaving = False
        self.waiting: deque[Attempt] = deque()
        self.running: dict[Attempt, None] = {}
        self.prefilled: dict[str, int] = {}
        self.generated: dict[str, int] = {}
        self.work_done = 0.0
        self.events: EventQueue
        self.publish: Callable[[CacheEvent], None]
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._ends: list[tuple[int, int, Attempt]] = []
        self._steps = 0
        self._started: list[Attempt] = []
        self._busy = False

    def accept(self, attempt: Attempt) -> None:
        """Queue a request, or notify its owner that it was not run."""
        if not self.up:
            attempt.refused_by = self.name
            attempt.owner.handle_refusal(attempt)
            return
        attempt.server = self
        self.waiting.append(attempt)
        if not self._busy:
            self._begin_step()

    def count_requests(self) -> int:
        """Return the number of waiting and running requests."""
        return len(self.waiting) + len(self.running) + len(self._started)

    def build_report(self) -> LoadReport:
        """Return a report of the current load."""
        tokens = 0.0
        for attempt in self.waiting:
            left = attempt.prefill_left
            tokens += left if left >= 0 else attempt.prompt_tokens
        return LoadReport(self.name, self.events.now, tokens, self.count_requests())

    def remove_all(self) -> list[tuple[Attempt, int]]:
        """Remove all attempts; return each with the tokens it has generated."""
        removed = [(attempt, 0) for attempt in (*self.waiting, *self._started)]
        for attempt in self.running:
            removed.append((attempt, self._steps - attempt.first_step + 1))
        for attempt, tokens in removed:
            self._record(attempt, tokens)
        self.waiting.clear()
        self.running.clear()
        self._started.clear()
        self._ends.clear()
        return removed

    def clear_cache(self) -> None:
        """Empty the prefix cache, as a restart does."""
        self._cache.clear()

    def _begin_step(self) -> None:
        budget = chunk = ROLE_MODELS[self.role].chunk_tokens
        slots = ROLE_MODELS[self.role].max_batch - len(self.running)
        while self.waiting and budget > 0 and slots > len(self._started):
            attempt = self.waiting[0]
            if attempt.prefill_left < 0:
                self._match_cached_prefix(attempt)
            used = min(budget, attempt.prefill_left)
            attempt.prefill_left -= used
            budget -= used
            if attempt.prefill_left > 0:
                break
            self._started.append(self.waiting.popleft())
        used = chunk - budget
        self._busy = bool(self.running or self._started or used)
        if not self._busy:
            return
        work = len(self.running) * STREAM_STEP_SECONDS + used * PREFILL_TOKEN_SECONDS
        self.work_done += work
        self.events.add(BASE_STEP_SECONDS + work, self._end_step)

    def _end_step(self) -> None:
        self._steps += 1
        steps, ends = self._steps, self._ends
        while ends and ends[0][0] <= steps:
            attempt = heapq.heappop(ends)[2]
            if attempt in self.running:
                del self.running[attempt]
                self._end(attempt)
        for attempt in self._started:
            attempt.first_step = steps
            self._cache_blocks(attempt)
            attempt.owner.handle_first_token(attempt)
            if attempt.output_left <= 1:
                self._end(attempt)
                continue
            self.running[attempt] = None
            end = steps + attempt.output_left - 1
            heapq.heappush(ends, (end, attempt.trace.request.number, attempt))
        self._started.clear()
        self._begin_step()

    def _end(self, attempt: Attempt) -> None:
        self._record(attempt, attempt.output_left)
        attempt.owner.handle_end(attempt, attempt.output_left)

    def _record(self, attempt: Attempt, tokens: int) -> None:
        customer = attempt.trace.request.customer
        self.generated[customer] = self.generated.get(customer, 0) + tokens

    def _match_cached_prefix(self, attempt: Attempt) -> None:
        if attempt.imported:
            attempt.prefill_left = 0.0
            return
        cached = 0
        for block in attempt.trace.request.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached += 1
        attempt.cached_blocks = cached
        left = attempt.prompt_tokens - cached * PREFIX_BLOCK_TOKENS
        attempt.prefill_left = float(max(0, left))

    def _cache_blocks(self, attempt: Attempt) -> None:
        added = []
        for block in attempt.trace.request.blocks:
            if block not in self._cache:
                added.append(block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        dropped = []
        while len(self._cache) > CACHE_BLOCKS:
            dropped.append(self._cache.popitem(last=False)[0])
        if added or dropped:
            self._sequence += 1
            event = CacheEvent(self.name, self._sequence, tuple(added), tuple(dropped))
            self.publish(event)
