"""Operators' interface: demand of the callers of this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class DemandResource(Resource):
    """Serves ``GET /v1/demand``; a read does not reset the rates."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the smoothed rates by model."""
        models = {
            model: {
                "prefill_tokens_per_second": demand.prefill_tokens_per_second,
                "decode_tokens_per_second": demand.decode_tokens_per_second,
            }
            for model, demand in self._context.dispatch.demand.demands.items()
        }
        answer = {"vm": self._context.settings["vm"], "models": models}
        write_json(request, 200, answer)
        return NOT_DONE_YET
