"""Route that lists the models."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._authentication import authenticate
from wisteriagw.http import write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class ModelsResource(Resource):
    """Serves ``GET /v1/models``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the models of the sheet and their adapters."""
        if authenticate(request, self._context.config) is None:
            write_error(request, 401, "invalid_key", "no valid key", not_run=True)
            return NOT_DONE_YET
        names = []
        for row in self._context.config.sheet["models"]:
            names.append(row["name"])
            names += [f"{row['name']}:{adapter}" for adapter in row["adapters"]]
        data = [{"id": name, "object": "model"} for name in names]
        write_json(request, 200, {"object": "list", "data": data})
        return NOT_DONE_YET
