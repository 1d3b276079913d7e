"""Unauthenticated route that shows how far this process has reported usage."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.reporter._reporter_context import ReporterContext


class StatusResource(Resource):
    """Serves ``GET /status``."""

    isLeaf = True

    def __init__(self, context: ReporterContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Respond with the authority and the windows that are not reported."""
        context = self._context
        state, read_at = context.follower.state, context.follower.last_tip_read_at
        number = context.lease.get_fencing_number()
        answer = {
            "vm": context.settings["vm"],
            "holds_authority": number is not None,
            "fencing_number": number,
            "unproved_ends": [
                former.vm for former in context.lease.list_unproved_holders()
            ],
            "sealed_window": state.sealed_window,
            "unreported_windows": context.list_unreported(),
            "state_incomplete": context.follower.state_incomplete,
            "tip_read_age_seconds": None
            if read_at is None
            else round(context.clock() - read_at, 3),
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET
