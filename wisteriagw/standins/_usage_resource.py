"""HTTP interface of the usage stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request


class UsageResource(Resource):
    """Accepts one report per customer and window at ``POST /reports``.

    ``GET /reports`` returns the reports, and those that repeat one with other figures.
    ``POST /faults`` sets ``down`` and the number of ``lost_replies``.
    """

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self._reports: dict[str, dict[str, Any]] = {}
        self._conflicts: list[dict[str, Any]] = []
        self._faults: dict[str, Any] = {"down": False, "lost_replies": 0}

    def render_GET(self, request: Request) -> Any:
        """Return the reports and the conflicting ones."""
        reports = list(self._reports.values())
        write_json(request, 200, {"reports": reports, "conflicts": self._conflicts})
        return NOT_DONE_YET

    def render_POST(self, request: Request) -> Any:
        """Accept a report, or set the faults."""
        try:
            body = read_json_object(request)
            if request.path == b"/faults":
                self._faults.update(body)
                write_json(request, 200, self._faults)
                return NOT_DONE_YET
            return self._record_report(request, body)
        except (KeyError, ValueError) as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
        return NOT_DONE_YET

    def _record_report(self, request: Request, body: dict[str, Any]) -> Any:
        if self._faults["down"]:
            request.transport.abortConnection()
            return NOT_DONE_YET
        key = f"{body['window']}/{body['customer']}"
        report = {name: body[name] for name in ("window", "customer", "rows")}
        known = self._reports.setdefault(key, report)
        if known != report:
            self._conflicts.append(report)
            write_error(request, 409, "conflict", "other figures", not_run=True)
            return NOT_DONE_YET
        if self._faults["lost_replies"] > 0:
            self._faults["lost_replies"] -= 1
            request.transport.abortConnection()
            return NOT_DONE_YET
        write_json(request, 200, {})
        return NOT_DONE_YET
