"""HTTP interface of the plain service stand-in."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request


class ServiceResource(Resource):
    """Counts how often each call ran; answers a POST with the count of its body."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self.runs: Counter[bytes] = Counter()
        self._work: Counter[str] = Counter()

    def render_GET(self, request: Request) -> Any:
        """Answer an idempotent call, or return the counts at ``/runs`` or ``/work``."""
        if request.path == b"/work":
            write_json(request, 200, self._work)
            return NOT_DONE_YET
        if request.path == b"/runs":
            runs = {body.decode("latin-1"): count for body, count in self.runs.items()}
            write_json(request, 200, runs)
            return NOT_DONE_YET
        customer = self._count(request)
        reply = {"path": request.path.decode("latin-1"), "customer": customer}
        write_json(request, 200, reply)
        return NOT_DONE_YET

    def render_POST(self, request: Request) -> Any:
        """Run a call that may not be repeated."""
        self._count(request)
        request.content.seek(0)
        body = request.content.read()
        self.runs[body] += 1
        write_json(request, 200, {"runs": self.runs[body]})
        return NOT_DONE_YET

    def _count(self, request: Request) -> str:
        customer = request.getHeader("wisteriagw-customer") or ""
        self._work[customer] += 1
        return customer
