"""Client of the engines' own interface."""

from __future__ import annotations

import json
from typing import Any

from wisteriagw.outcomes import Done

# The list is long and the engine makes it beside its work.
LIST_TIMEOUT_SECONDS = 2.0


class EngineClient:
    """Asks engines what they keep."""

    def __init__(self, client: Any) -> None:
        self._client = client

    async def list_parts(self, address: tuple[str, int]) -> list[tuple[str, int]]:
        """Return the prompt parts that an engine keeps; none if it does not say."""
        outcome = await self._client.send(
            address, "GET", "/kv-list", timeout=LIST_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            return []
        return decode_parts(outcome.body)


def decode_parts(body: bytes) -> list[tuple[str, int]]:
    """Return part and tokens of the rows in a list; other rows are passed over."""
    try:
        rows = json.loads(body)["held"]
    except (ValueError, KeyError, TypeError):
        return []
    parts = []
    for row in rows if isinstance(rows, list) else ():
        # A row holds an empty text, the part, its tokens and the model.
        if not isinstance(row, list) or len(row) < 3:
            continue
        if isinstance(row[1], str) and type(row[2]) is int and row[2] > 0:
            parts.append((row[1], row[2]))
    return parts
