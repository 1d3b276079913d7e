"""Client of the engines' own interface: KV cache listing and stops of runs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.jsondata import is_plain, load_json
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer
    from wisteriagw.outcomes import Outcome

# The list is long, and the engine produces it while serving requests.
LIST_TIMEOUT_SECONDS = 2.0
# Callers give a stream up after a pause of 2 s at the earliest.
STOP_TIMEOUT_SECONDS = 1.0
# Answers of engines to the system's own calls, other than lists, hold a few fields.
MAX_ANSWER_BYTES = 65_536


class EngineClient:
    """Queries which prompt parts engines keep, and stops their runs."""

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

    async def stop_run(
        self, server: BackendServer, request_id: str, destination: tuple[str, int]
    ) -> Outcome:
        """Stop a run, and move its KV cache to another engine."""
        host, port = destination
        # "final" stops the run before the rest of its KV cache is moved.
        fields = {"id": request_id, "to": f"{host}:{port}", "final": True}
        return await self._client.send(
            server.address,
            "POST",
            "/kv-move",
            json.dumps(fields).encode("utf-8"),
            STOP_TIMEOUT_SECONDS,
            (
                (b"content-type", b"application/json"),
                # Another lifetime at the address must not answer for this one.
                (b"x-wisteriagw-expect-instance", server.name.encode("latin-1")),
            ),
            MAX_ANSWER_BYTES,
        )


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
