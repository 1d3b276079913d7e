"""Model engine stand-in."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from wisteriagw.standins._engine_batch import EngineBatch
from wisteriagw.standins._engine_events import (
    build_end_event,
    build_superseded_event,
    build_token_event,
)
from wisteriagw.standins._generation import Generation
from wisteriagw.standins._prefix_cache import PrefixCache

if TYPE_CHECKING:
    from wisteriagw.backends import GenerateRequest
    from wisteriagw.standins._engine_speed import EngineSpeed

DETACHED_RETENTION_SECONDS = 30.0
MAX_WORK_RECORDS = 100_000


class Engine:
    """Generations by request id; streams their events to readers.

    Attributes
    ----------
    work : deque of Generation
        Newest started generations; a crash does not clear them.
    """

    def __init__(self, speed: EngineSpeed) -> None:
        self.batch = EngineBatch(speed)
        self.cache = PrefixCache(speed.max_cached_blocks)
        self.generations: dict[str, Generation] = {}
        self.work: deque[Generation] = deque(maxlen=MAX_WORK_RECORDS)
        self.now = 0.0
        self.leaving = False

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return len(self.batch.waiting) >= self.batch.speed.max_waiting

    def describe_load(self) -> dict[str, float]:
        """Return the current load."""
        waiting = self.batch.waiting
        return {
            "running": len(self.batch.running),
            "waiting": len(waiting),
            "queued_prefill_tokens": sum(one.prefill_left for one in waiting),
        }

    def start(self, request: GenerateRequest, reader: Any) -> Generation:
        """Start a generation whose events go to a reader."""
        generation = Generation(request)
        scope = f"{generation.model}:{request['adapter']}"
        text = request["prompt"] + request["generated"]
        generation.skip_cached_prefill(self.cache.match_and_add(scope, text))
        generation.reader = reader
        self.generations[generation.request_id] = generation
        self.work.append(generation)
        self.batch.add(generation)
        return generation

    def resume(
        self, generation: Generation, attempt: str, start: int, reader: Any
    ) -> None:
        """Send the events from an index on to a new reader under a new attempt."""
        if generation.reader is not None:
            generation.reader.write(build_superseded_event(generation))
            generation.reader.finish()
        generation.attempt = attempt
        generation.reader = reader
        for index in range(
            max(start, generation.first_index), generation.generated_tokens
        ):
            reader.write(build_token_event(generation, index))
        if generation.finish_reason:
            self._end(generation)

    def cancel(self, request_id: str, customer: str, attempt: str) -> Generation | None:
        """Cancel and return a generation unless another attempt has taken it over."""
        generation = self.generations.get(request_id)
        if generation is None or generation.customer != customer:
            return None
        if generation.attempt != attempt:
            return None
        self.batch.cancel(generation)
        self._end(generation)
        return generation

    def detach_reader(self, generation: Generation, reader: Any) -> None:
        """Continue a generation without a reader, for a limited time."""
        if generation.reader is reader:
            generation.reader = None
            generation.detached_at = self.now

    def step(self, seconds: float) -> None:
        """Advance the time, send new events and drop generations without a reader."""
        self.now += seconds
        for generation in self.batch.step(seconds):
            if generation.reader is not None:
                index = generation.generated_tokens - 1
                generation.reader.write(build_token_event(generation, index))
            if generation.finish_reason:
                self._end(generation)
        oldest = self.now - DETACHED_RETENTION_SECONDS
        for generation in list(self.generations.values()):
            if generation.reader is None and generation.detached_at < oldest:
                self.batch.cancel(generation)
                del self.generations[generation.request_id]

    def crash(self) -> None:
        """Lose all generations and the cache, as a restarted process does."""
        self.cut_connections()
        self.generations.clear()
        self.batch = EngineBatch(self.batch.speed)
        self.cache = PrefixCache(self.batch.speed.max_cached_blocks)

    def cut_connections(self) -> None:
        """Abort every stream and keep the generations."""
        for generation in self.generations.values():
            if generation.reader is not None:
                generation.reader.transport.abortConnection()
                self.detach_reader(generation, generation.reader)

    def _end(self, generation: Generation) -> None:
        reader = generation.reader
        if reader is None:
            return
        self.detach_reader(generation, reader)
        reader.write(build_end_event(generation))
        reader.finish()
        generation.ended_before = True
