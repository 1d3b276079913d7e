"""Stand-in for a backend server of the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder

EVENT_INTERVAL_SECONDS = 0.02
CALL_SECONDS = 0.02
EVENTS_PER_STREAM = 8
# A server that refuses a request wants none for this long.
PAUSE = (b"retry-after", b"0.4")


class BackendServerStandIn:
    """Runs calls, prefills prompts and streams events, and records what it ran.

    Attributes
    ----------
    lost_replies : int
        Number of next requests that run and whose connection is then aborted.
    refusals : int
        Number of next requests that are refused without being run.
    leaving : bool
        Whether all answers say that the server leaves.
    limit : float or None
        Requests per second that all answers name, if any.
    """

    def __init__(self, reactor: Any, name: str, runs: list[list[Any]]) -> None:
        self.lost_replies = 0
        self.refusals = 0
        self.leaving = False
        self.limit: float | None = None
        self._reactor = reactor
        self._name = name
        self._runs = runs
        self._handles = 0

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle an HTTP request."""
        find = request.find_header
        path = request.target
        if path == b"/order":
            responder.reply(202)
            return
        if path.startswith((b"/kv-handle/", b"/kv-list", b"/health", b"/report")):
            responder.reply(200, (), b'{"held": []}')
            return
        request_id = (find(b"x-wisteriagw-request-id") or b"").decode()
        headers = [(b"x-wisteriagw-request-id", request_id.encode())]
        headers += self._list_notices()
        if find(b"x-wisteriagw-expect-instance") != self._name.encode():
            responder.reply(421, headers)
            return
        if self.refusals:
            self.refusals -= 1
            headers += [(b"x-wisteriagw-not-executed", b"1"), PAUSE]
            responder.reply(503, headers)
            return
        if find(b"x-wisteriagw-stage") == b"prefill":
            self._handles += 1
            reply = {"kv_handle": f"h{self._handles}", "tokens": 1, "version": 1}
            responder.reply(200, headers, json.dumps(reply).encode())
            return
        customer = (find(b"x-wisteriagw-tenant") or b"").decode()
        resumed = find(b"last-event-id")
        self._runs.append([request_id, customer, self._reactor.seconds()])
        headers.append((b"x-wisteriagw-server-stamp", f"s-{request_id}".encode()))
        if find(b"x-wisteriagw-model") is None:
            self._reactor.callLater(
                CALL_SECONDS, self._finish_call, request_id, headers, responder
            )
            return
        responder.start(200, [*headers, (b"content-type", b"text/event-stream")])
        first = int(resumed) + 1 if resumed else 1
        self._send_event(first, request_id, responder)

    def _list_notices(self) -> list[tuple[bytes, bytes]]:
        notices = []
        if self.leaving:
            notices.append((b"server-leaving", b"1"))
        if self.limit is not None:
            notices.append((b"server-limit", f"{self.limit}".encode("ascii")))
        return notices

    def _finish_call(
        self, request_id: str, headers: list, responder: Responder
    ) -> None:
        if self._lose_reply(responder):
            return
        responder.reply(200, headers, f"done {request_id}".encode())

    def _send_event(self, number: int, request_id: str, responder: Responder) -> None:
        if responder.ended:
            return
        if number > EVENTS_PER_STREAM:
            responder.end()
            return
        event = f"id: {number}\ndata: {request_id}\n\n".encode()
        if number == EVENTS_PER_STREAM // 2 and self.lost_replies:
            responder.write(event[:7])
            self._lose_reply(responder)
            return
        responder.write(event)
        self._reactor.callLater(
            EVENT_INTERVAL_SECONDS, self._send_event, number + 1, request_id, responder
        )

    def _lose_reply(self, responder: Responder) -> bool:
        if not self.lost_replies:
            return False
        self.lost_replies -= 1
        responder.abort()
        return True
