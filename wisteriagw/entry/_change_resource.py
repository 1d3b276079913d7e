"""Route of one kind of change."""

from __future__ import annotations

import secrets
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._change_answers import build_answer
from wisteriagw.entry._config_changes import make_change
from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

NONCE_BYTES = 8
UNKNOWN_OPERATOR = "unknown"


class ChangeResource(Resource):
    """Handles requests for one kind of change.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    build : callable
        ``build(body, operator, nonce, config)`` returns a RequestedChange, an outcome
        that refuses it, or raises ValueError.
    """

    isLeaf = True

    def __init__(self, context: EntryContext, build: Callable[..., Any]) -> None:
        super().__init__()
        self._context = context
        self._build = build

    def render_POST(self, request: Request) -> Any:
        """Make one change."""
        if request.body_too_large:
            message = "the body is too large"
            write_error(request, 413, "body_too_large", message, not_run=True)
            return NOT_DONE_YET
        try:
            body = read_json_object(request)
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        self._change(request, body)
        return NOT_DONE_YET

    @inlineCallbacks
    def _change(
        self, request: Request, body: dict[str, Any]
    ) -> Generator[Deferred[Any], Any, None]:
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        operator = str(body.get("operator") or UNKNOWN_OPERATOR)
        nonce = secrets.token_hex(NONCE_BYTES)
        build = partial(self._build, body, operator, nonce)
        cause = str(body.get("cause", ""))
        try:
            outcome = yield make_change(self._context, build, cause)
        except ValueError as error:
            if not disconnects:
                write_error(request, 400, "invalid_request", str(error), not_run=True)
            return
        if not disconnects:
            write_json(request, *build_answer(outcome))
