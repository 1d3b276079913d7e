"""Client of the engines' KV cache listing."""

from __future__ import annotations

import json
from typing import Any

from wisteriagw.outcomes import Done

# The list is long, and the engine produces it while serving requests.
LIST_TIMEOUT_SECONDS = 2.0


class EngineClient:
    """Queries which prompt parts engines keep in their KV caches."""

    def __init__(self, client: Any) -> None:
        self._client = client

    async def list_parts(self, address: tuple[str, int]) -> list[tuple[str, int]]:
        """Return the prompt parts that an engine keeps; empty if the call fails."""
        outcome = await self._client.send(
            address, "GET", "/kv-list", timeout=LIST_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            return []
        return decode_parts(outcome.body)


def decode_parts(body: bytes) -> list[tuple[str, int]]:
    """Return part and token count of each valid row; other rows are skipped."""
    try:
        rows = json.loads(body)["held"]
    except (ValueError, KeyError, TypeError):
        return []
    parts = []
    for row in rows if isinstance(rows, list) else ():
        # A row holds an empty string, the part, its token count and the model.
        if not isinstance(row, list) or len(row) < 3:
            continue
        if isinstance(row[1], str) and type(row[2]) is int and row[2] > 0:
            parts.append((row[1], row[2]))
    return parts
