"""Operators' interface: recorded decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._plain_values import to_plain
from wisteriagw.entry._query import read_number, read_text
from wisteriagw.http import write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

DEFAULT_LIMIT = 20


class DecisionsResource(Resource):
    """Serves ``GET /v1/decisions?request=&customer=&limit=``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the newest decisions that match."""
        try:
            limit = int(read_number(request, "limit", DEFAULT_LIMIT))
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        # A caller knows its request by the handle {backend_server}.{request id}.
        request_id = read_text(request, "request").rpartition(".")[2]
        customer = read_text(request, "customer")
        found = self._context.decisions.list_newest(limit, request_id, customer)
        write_json(request, 200, {"decisions": to_plain(found)})
        return NOT_DONE_YET
