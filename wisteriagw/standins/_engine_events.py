"""Server-sent events of the engine stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.standins._generation import Generation


def build_token_event(generation: Generation, index: int) -> bytes:
    """Return the event of one token, a chunk in the format that callers receive."""
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
        **generation.figures,
        "ended_before": generation.ended_before,
    }
    event_id = f"{generation.attempt}/{generation.generated_tokens}"
    return f"id: {event_id}\nevent: end\ndata: {json.dumps(end)}\n\n".encode()


def build_superseded_event(generation: Generation) -> bytes:
    """Return the event for a reader whose stream another reader has taken over."""
    event_id = f"{generation.attempt}/{generation.generated_tokens}"
    return f"id: {event_id}\nevent: superseded\ndata: {{}}\n\n".encode()
