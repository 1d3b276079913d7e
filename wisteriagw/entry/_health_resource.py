"""Health route, open to callers without a key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class HealthResource(Resource):
    """Serves ``GET /healthz``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the state of the process."""
        follower = self._context.config_follower
        age = None
        if follower.last_tip_read_at is not None:
            age = self._context.clock() - follower.last_tip_read_at
        answer = {
            "vm": self._context.settings["vm"],
            "leaving": self._context.shutdown.leaving,
            "config_revision": follower.state.revision,
            "config_read_age_seconds": age,
            "permit": self._context.membership.get_permit().basis,
            "available_vms": sorted(
                member.vm for member in self._context.membership.list_available()
            ),
            "state_incomplete": follower.state_incomplete,
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET
