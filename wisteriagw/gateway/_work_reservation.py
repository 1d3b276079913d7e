"""Work of one request on one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.placement import WorkTable


class WorkReservation:
    """Counts a request in the work table until the reservation is released."""

    def __init__(self, table: WorkTable, server: str, tokens: float) -> None:
        self._table = table
        self._server = server
        self._tokens = tokens
        self._active = True
        table.add(server, tokens, 1)

    def release_tokens(self) -> None:
        """Remove the prompt tokens, because the prefill is complete."""
        if self._tokens:
            self._table.add(self._server, -self._tokens, 0)
            self._tokens = 0.0

    def release(self) -> None:
        """Remove the request, because it has ended."""
        if self._active:
            self._active = False
            self._table.add(self._server, -self._tokens, -1)
