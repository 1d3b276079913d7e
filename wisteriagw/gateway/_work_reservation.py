"""Work of one request on one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.placement import WorkTable


class WorkReservation:
    """Counts a request in the work table until the reservation is released."""

    def __init__(
        self, table: WorkTable, server: str, tokens: float, urgent: bool = False
    ) -> None:
        self._table = table
        self._server = server
        self._tokens = tokens
        self._urgent = urgent
        self._active = True
        self._add(tokens, 1)

    def release_tokens(self) -> None:
        """Remove the prompt tokens, because the prefill is complete."""
        if self._tokens:
            self._add(-self._tokens, 0)
            self._tokens = 0.0

    def release(self) -> None:
        """Remove the request, because it has ended."""
        if self._active:
            self._active = False
            self._add(-self._tokens, -1)

    def _add(self, tokens: float, streams: int) -> None:
        self._table.add(self._server, tokens, streams)
        if self._urgent:
            self._table.add_urgent(self._server, tokens, streams)
