"""Client of the engines' KV cache listing."""

from __future__ import annotations

from typing import Any

from wisteriagw.jsondata import is_plain, load_json
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
        rows = load_json(body)["held"]
    except (ValueError, KeyError, TypeError):
        return []
    parts = []
    for row in rows if isinstance(rows, list) else ():
        # A row holds an empty string, the part, its token count and the model.
        if not isinstance(row, list) or len(row) < 3:
            continue
        if not is_plain(row[1], (str,)) or not is_plain(row[2], (int,)):
            continue
        if row[2] > 0:
            parts.append((row[1], row[2]))
    return parts
