"""Text of token events."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def join_tokens(events: Iterable[bytes]) -> str:
    """Return the joined text of token events, or raise ValueError."""
    parts = []
    for event in events:
        try:
            chunk = json.loads(event.partition(b"data: ")[2])
            parts.append(chunk["choices"][0]["delta"]["content"])
        except (LookupError, TypeError, RecursionError) as error:
            raise ValueError("a token event is not a chat completion chunk") from error
    return "".join(parts)
