"""Route of one kind of change."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._change_answers import build_answer
from wisteriagw.entry._config_changes import make_change
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

NONCE_BYTES = 8
UNKNOWN_OPERATOR = "unknown"


class ChangeResource(Resource):
    """Takes requests for one kind of change.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    build : callable
        ``build(body, config, operator, nonce)`` returns a RequestedChange, an outcome
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
            operator = str(body.get("operator") or UNKNOWN_OPERATOR)
            nonce = secrets.token_hex(NONCE_BYTES)
            change = self._build(body, self._context.config, operator, nonce)
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        if not isinstance(change, RequestedChange):
            write_json(request, *build_answer(change))
            return NOT_DONE_YET
        self._change(request, change, str(body.get("cause", "")))
        return NOT_DONE_YET

    @inlineCallbacks
    def _change(
        self, request: Request, change: RequestedChange, cause: str
    ) -> Generator[Deferred[Any], Any, None]:
        left: list[Any] = []
        request.notifyFinish().addErrback(left.append)
        outcome = yield make_change(self._context, change.record, cause)
        if left:
            return
        status, answer = build_answer(outcome)
        write_json(request, status, {**answer, **_select_extra(status, change)})


def _select_extra(status: int, change: RequestedChange) -> dict[str, Any]:
    return change.answer if status == 200 else {}
