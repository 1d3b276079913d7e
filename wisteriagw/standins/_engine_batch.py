"""Continuous batching of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.standins._engine_speed import EngineSpeed
    from wisteriagw.standins._generation import Generation


class EngineBatch:
    """Waiting and running generations; a step adds a token to each running one."""

    def __init__(self, speed: EngineSpeed) -> None:
        self.speed = speed
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []

    def add(self, generation: Generation) -> None:
        """Queue a generation behind those of the same or a higher priority."""
        self.waiting.append(generation)
        self.waiting.sort(key=lambda waiting: -waiting.priority)

    def cancel(self, generation: Generation) -> None:
        """End a generation early."""
        generation.finish_reason = generation.finish_reason or "cancelled"
        if generation in self.waiting:
            self.waiting.remove(generation)
        if generation in self.running:
            self.running.remove(generation)

    def step(self, seconds: float) -> list[Generation]:
        """Advance the time and return the generations that received a token."""
        self._prefill(seconds * self.speed.prefill_tokens_per_second)
        advanced = list(self.running)
        for generation in advanced:
            generation.generated_tokens += 1
            if generation.generated_tokens >= generation.max_tokens:
                generation.finish_reason = "length"
                self.running.remove(generation)
        return advanced

    def _prefill(self, tokens: float) -> None:
        while self.waiting and tokens > 0 and len(self.running) < self.speed.max_batch:
            generation = self.waiting[0]
            used = min(tokens, generation.prefill_left)
            generation.prefill_left -= used
            tokens -= used
            if generation.prefill_left > 0:
                return
            self.running.append(self.waiting.pop(0))
