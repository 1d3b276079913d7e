"""HTTP interface of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.backends import CACHED_TOKENS_HEADER, PROMPT_TOKENS_HEADER
from wisteriagw.clocks import read_boot_time
from wisteriagw.http import read_json_object, write_error, write_json
from wisteriagw.standins._delayed_reports import DelayedReports

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.standins._engine import Engine


class EngineResource(Resource):
    """Serves ``/generate``, ``/requests/{id}``, ``/cancel``, ``/load``, ``/faults``.

    ``/work`` returns the work done for each generation, for comparison with reports.
    """

    isLeaf = True

    def __init__(self, engine: Engine, reports: DelayedReports | None = None) -> None:
        super().__init__()
        self._engine = engine
        self._reports = reports or DelayedReports(engine, read_boot_time)

    def render_POST(self, request: Request) -> Any:
        """Start or cancel a generation, or inject a fault."""
        try:
            body = read_json_object(request)
            if request.path == b"/cancel":
                identity = (body["request_id"], body["customer"], body["attempt"])
                cancelled = self._engine.cancel(*identity)
                figures = cancelled.figures if cancelled else {}
                write_json(request, 200, {"cancelled": bool(cancelled), **figures})
                return NOT_DONE_YET
            if request.path == b"/faults":
                self._inject_fault(request, body)
                return NOT_DONE_YET
            if self._engine.is_full:
                message = "the queue is full"
                write_error(request, 503, "overloaded", message, not_run=True)
                return NOT_DONE_YET
            generation = self._engine.start(body, request)
        except (KeyError, ValueError) as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        self._start_events(request, generation)
        return NOT_DONE_YET

    def _inject_fault(self, request: Request, body: dict[str, Any]) -> None:
        if body.get("cut_connections"):
            self._engine.cut_connections()
        if "leaving" in body:
            self._engine.leaving = body["leaving"] is True
        if body.get("crash"):
            self._engine.crash()
        write_json(request, 200, body)

    def render_GET(self, request: Request) -> Any:
        """Resume a stream, or return the load or the work done."""
        if request.path == b"/load":
            write_json(request, 200, self._reports.describe())
            return NOT_DONE_YET
        if request.path == b"/work":
            work = [
                {"request_id": done.request_id, "customer": done.customer}
                | done.figures
                for done in self._engine.work
            ]
            write_json(request, 200, work)
            return NOT_DONE_YET
        request_id = request.path.rpartition(b"/")[2].decode("latin-1")
        generation = self._engine.generations.get(request_id)
        customer = request.args.get(b"customer", [b""])[0].decode("latin-1")
        if generation is None or generation.customer != customer:
            write_error(request, 404, "not_found", "unknown request", not_run=True)
            return NOT_DONE_YET
        self._start_events(request, generation)
        attempt = request.args.get(b"attempt", [b""])[0].decode("latin-1")
        start = int(request.args.get(b"from", [b"0"])[0])
        self._engine.resume(generation, attempt, start, request)
        return NOT_DONE_YET

    def _start_events(self, request: Request, generation: Any) -> None:
        request.setHeader(b"content-type", b"text/event-stream")
        request.setHeader(PROMPT_TOKENS_HEADER, b"%d" % generation.prompt_tokens)
        request.setHeader(CACHED_TOKENS_HEADER, b"%d" % generation.cached_tokens)
        finished = request.notifyFinish()
        finished.addErrback(lambda _: self._engine.detach_reader(generation, request))
