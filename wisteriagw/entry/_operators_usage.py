"""Operators' interface: usage of a customer in a window."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.clients import LogUnavailableError
from wisteriagw.entry._query import read_number, read_text
from wisteriagw.follower import StreamFollower
from wisteriagw.http import write_error, write_json
from wisteriagw.usage import USAGE_STREAM, UsageTrace, build_empty_usage

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class UsageResource(Resource):
    """Serves ``GET /v1/usage?customer=&window=``, read from the log on demand."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the figures and the records they are the sum of."""
        try:
            window = int(read_number(request, "window", -1))
            customer = read_text(request, "customer")
            if window < 0 or not customer:
                raise ValueError("'customer' and 'window' must be given")
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        self._answer(request, customer, window)
        return NOT_DONE_YET

    @inlineCallbacks
    def _answer(
        self, request: Request, customer: str, window: int
    ) -> Generator[Deferred[Any], Any, None]:
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        context, trace = self._context, UsageTrace(customer, window)
        # No checkpoint is used: it holds the figures without their records.
        follower = StreamFollower(
            context.log, USAGE_STREAM, build_empty_usage(), trace.apply, context.clock
        )
        try:
            yield follower.poll()
        except LogUnavailableError as error:
            if not disconnects:
                write_error(request, 503, "log_unavailable", str(error), not_run=True)
            return
        if disconnects:
            return
        rows = [
            {"belongs_to": belongs_to, "late": belongs_to < window, "figures": figures}
            for belongs_to, figures in trace.list_rows()
        ]
        answer = {
            "customer": customer,
            "window": window,
            "sealed": window <= follower.state.sealed_window,
            "recorded": trace.recorded,
            "reported": trace.reported,
            "missing_before": follower.gap_end,
            "rows": rows,
            "records": [found._asdict() for found in trace.contributions],
        }
        write_json(request, 200, answer)
