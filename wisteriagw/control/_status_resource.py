"""Unauthenticated route that shows whether this process holds the authority."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.control._control_context import ControlContext


class StatusResource(Resource):
    """Serves ``GET /status``."""

    isLeaf = True

    def __init__(self, context: ControlContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Respond with the authority and the ages of the data behind its orders."""
        context = self._context
        lease = context.authority.lease
        number = lease.get_fencing_number()
        follower = context.config_follower
        engines = {
            name: self._compute_age(engine.read_at)
            for name, engine in context.engines.items()
        }
        answer = {
            "vm": context.settings["vm"],
            "holds_authority": number is not None,
            "fencing_number": number,
            "unproved_ends": [former.vm for former in lease.list_unproved_holders()],
            "config_revision": follower.state.revision,
            "config_age_seconds": self._compute_age(follower.last_tip_read_at),
            "report_age_seconds": engines,
            "backends_age_seconds": self._compute_age(context.backends.read_at),
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET

    def _compute_age(self, read_at: float | None) -> float | None:
        if read_at is None or math.isinf(read_at):
            return None
        return round(self._context.clock() - read_at, 3)
