"""Refusal of requests after the drain period."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request


class ShuttingDownResource(Resource):
    """Refuses a request because the process is shutting down."""

    isLeaf = True

    def render(self, request: Request) -> Any:
        """Refuse the request."""
        message = "this process is shutting down"
        write_error(request, 503, "shutting_down", message, not_run=True)
        return NOT_DONE_YET
