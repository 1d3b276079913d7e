"""Model engine stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.standins._engine_batch import EngineBatch
from wisteriagw.standins._generation import Generation

if TYPE_CHECKING:
    from wisteriagw.backends import GenerateRequest
    from wisteriagw.standins._engine_speed import EngineSpeed

KEEP_WITHOUT_READER_SECONDS = 30.0


class Engine:
    """Generations by request id, and the sending of their events to readers."""

    def __init__(self, speed: EngineSpeed) -> None:
        self.batch = EngineBatch(speed)
        self.generations: dict[str, Generation] = {}

    def start(self, request: GenerateRequest, reader: Any) -> Generation:
        """Start a generation whose events go to a reader."""
        generation = Generation(request)
        generation.reader = reader
        self.generations[generation.request_id] = generation
        self.batch.add(generation)
        return generation

    def resume(self, generation: Generation, attempt: str, start: int, reader: Any):
        """Send the events from an index on to a new reader under a new attempt."""
        generation.attempt = attempt
        generation.reader = reader
        for index in range(start, generation.generated_tokens):
            reader.write(build_token_event(generation, index))
        if generation.finish_reason:
            self._end(generation)

    def lose_reader(self, generation: Generation, reader: Any) -> None:
        """Keep generating for a while after a reader was lost."""
        if generation.reader is reader:
            generation.reader = None

    def step(self, seconds: float) -> None:
        """Advance by a time and send the new events."""
        for generation in self.batch.step(seconds):
            if generation.reader is not None:
                index = generation.generated_tokens - 1
                generation.reader.write(build_token_event(generation, index))
            if generation.finish_reason:
                self._end(generation)

    def _end(self, generation: Generation) -> None:
        reader, generation.reader = generation.reader, None
        if reader is None:
            return
        reader.write(build_end_event(generation))
        reader.finish()


def build_token_event(generation: Generation, index: int) -> bytes:
    """Return the event of one token, a chunk as callers get it."""
    chunk = {
        "id": generation.request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": generation.model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": generation.get_token(index)},
                "finish_reason": None,
            }
        ],
    }
    return f"id: {generation.attempt}/{index}\ndata: {json.dumps(chunk)}\n\n".encode()


def build_end_event(generation: Generation) -> bytes:
    """Return the closing event with the figures of the request."""
    end = {
        "finish_reason": generation.finish_reason,
        "prompt_tokens": generation.prompt_tokens,
        "cached_tokens": generation.cached_tokens,
        "generated_tokens": generation.generated_tokens,
    }
    event_id = f"{generation.attempt}/{generation.generated_tokens}"
    return f"id: {event_id}\nevent: end\ndata: {json.dumps(end)}\n\n".encode()
