"""Path segment without a route of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http._replies import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request


class PathResource(Resource):
    """Path segment whose unknown children are answered with ``not_found``."""

    def getChild(self, path: bytes, request: Request) -> Resource:
        """Return the resource of an unknown path."""
        return PathResource()

    def render(self, request: Request) -> Any:
        """Answer with ``not_found``."""
        write_error(request, 404, "not_found", "unknown path", not_run=True)
        return NOT_DONE_YET
