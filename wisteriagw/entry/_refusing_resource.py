"""Resource that refuses every request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request


class RefusingResource(Resource):
    """Answers with one error; the request was not run."""

    isLeaf = True

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__()
        self._error = status, code, message

    def render(self, request: Request) -> Any:
        """Refuse the request."""
        write_error(request, *self._error, not_run=True)
        return NOT_DONE_YET
