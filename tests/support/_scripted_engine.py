"""Engine whose responses a test scripts byte by byte."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request


class ScriptedEngine(Resource):
    """Answers each connection with the next script; the last script is repeated.

    A script takes the attempt and the first index and returns the body; the connection
    is closed after it unless the body contains a closing event, or it is the first one
    and ``keep_first_open`` is set.
    """

    isLeaf = True

    def __init__(self, *scripts: Callable[[str, int], bytes]) -> None:
        super().__init__()
        self._scripts = list(scripts)
        self.opened: list[tuple[bytes, int]] = []
        self.cancelled: list[dict[str, Any]] = []
        self.keep_first_open = False

    def render_POST(self, request: Request) -> Any:
        """Answer a generation request, or record a cancel."""
        request.content.seek(0)
        body = json.loads(request.content.read())
        if request.path == b"/cancel":
            self.cancelled.append(body)
            return b"{}"
        return self._answer(request, body["attempt"], body["first_index"])

    def render_GET(self, request: Request) -> Any:
        """Answer a resume."""
        attempt = request.args[b"attempt"][0].decode("ascii")
        return self._answer(request, attempt, int(request.args[b"from"][0]))

    def _answer(self, request: Request, attempt: str, start: int) -> Any:
        self.opened.append((request.method, start))
        script = self._scripts[0]
        if len(self._scripts) > 1:
            self._scripts.pop(0)
        body = script(attempt, start)
        request.write(body)
        if b"event: end" in body:
            request.finish()
        elif not self.keep_first_open or len(self.opened) > 1:
            request.transport.loseConnection()
        return NOT_DONE_YET
