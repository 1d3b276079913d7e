"""Operators' interface: propagation of a revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class RevisionsResource(Resource):
    """Serves ``GET /v1/revisions/{revision}``, also with ``current``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the VMs that have not confirmed a revision."""
        current = self._context.config.revision
        text = request.path.rpartition(b"/")[2].decode("latin-1")
        if text != "current" and not text.isdecimal():
            message = f"{text!r} is neither a revision nor 'current'"
            write_error(request, 400, "invalid_request", message, not_run=True)
            return NOT_DONE_YET
        revision = current if text == "current" else int(text)
        if revision > current:
            message = f"the newest revision on this VM is {current}"
            write_error(request, 404, "not_found", message, not_run=True)
            return NOT_DONE_YET
        acceptance = self._context.decide_acceptance(revision)
        write_json(request, 200, {"revision": revision, **acceptance._asdict()})
        return NOT_DONE_YET
