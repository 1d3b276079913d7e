"""Operators' view of one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._operator_access import is_operator
from wisteriagw.http import write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

PERMIT_REASONS = {
    "log": "the log was read to its tip",
    "peer": "a peer that has recently read the log confirms the configuration",
    "majority": "a majority of entry VMs is reachable and reports no later revision",
    "": "neither the log nor a peer nor a majority of entry VMs was reached in time",
}


class StatusResource(Resource):
    """Serves ``GET /status``.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    token : str
        Token of the operators; empty without one.
    counts : callable
        Returns the number of open requests and of dropped log lines.
    """

    isLeaf = True

    def __init__(
        self,
        context: EntryContext,
        token: str,
        counts: Callable[[], tuple[int, int]],
    ) -> None:
        super().__init__()
        self._context = context
        self._token = token
        self._counts = counts

    def render_GET(self, request: Request) -> Any:
        """Answer with the state of the process."""
        if not is_operator(request, self._token):
            message = "no valid operator token"
            write_error(request, 401, "invalid_key", message, not_run=True)
            return NOT_DONE_YET
        context = self._context
        follower, membership = context.config_follower, context.membership
        age = None
        if follower.last_tip_read_at is not None:
            age = context.clock() - follower.last_tip_read_at
        permit = membership.get_permit()
        open_requests, dropped_lines = self._counts()
        state = membership.state
        answer = {
            "vm": state.vm,
            "data_centre": context.settings["data-centre"],
            "incarnation": state.incarnation,
            "serves": permit.held,
            "leaving": membership.leaving,
            "permit": permit.basis,
            "permit_reason": PERMIT_REASONS[permit.basis],
            "config_revision": follower.state.revision,
            "config_read_age_seconds": age,
            "members": sorted(state.members),
            "available_vms": sorted(m.vm for m in membership.list_available()),
            "open_requests": open_requests,
            "open_streams": len(context.open_streams),
            "dropped_lines": dropped_lines,
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET
