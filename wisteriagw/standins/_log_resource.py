"""HTTP interface of the log stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import cbor2
from twisted.internet import task
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import read_json_object, write_error, write_json
from wisteriagw.standins._log_fault import LogFault

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.standins._log_store import LogStore


class LogResource(Resource):
    """Serves ``/streams/{name}``; tests post faults to ``/faults``."""

    isLeaf = True

    def __init__(self, store: LogStore, reactor: Any) -> None:
        super().__init__()
        self._store = store
        self._reactor = reactor
        self._fault = LogFault()

    def render_GET(self, request: Request) -> Any:
        """Read records of a stream."""
        if self._fault.down:
            request.transport.abortConnection()
            return NOT_DONE_YET
        page = self._store.read(
            _read_stream(request),
            int(request.args.get(b"from", [b"0"])[0]),
            int(request.args.get(b"limit", [b"500"])[0]),
        )
        reply = {
            "first_offset": page.first_offset,
            "next_offset": page.next_offset,
            "records": [list(record) for record in page.records],
        }
        return self._reply(request, reply)

    def render_POST(self, request: Request) -> Any:
        """Append a record, or set the faults."""
        if request.path == b"/faults":
            return self._set_fault(request)
        if self._fault.down:
            request.transport.abortConnection()
            return NOT_DONE_YET
        request.content.seek(0)
        offset = self._store.append(_read_stream(request), request.content.read())
        if self._fault.lost_replies > 0:
            remaining = self._fault.lost_replies - 1
            self._fault = self._fault._replace(lost_replies=remaining)
            request.transport.abortConnection()
            return NOT_DONE_YET
        return self._reply(request, {"offset": offset})

    def _set_fault(self, request: Request) -> Any:
        try:
            self._fault = LogFault(**read_json_object(request))
        except (TypeError, ValueError) as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        write_json(request, 200, self._fault._asdict())
        return NOT_DONE_YET

    def _reply(self, request: Request, reply: dict[str, Any]) -> Any:
        body = cbor2.dumps(reply)
        if self._fault.delay_seconds <= 0:
            return body
        delayed = task.deferLater(self._reactor, self._fault.delay_seconds)
        delayed.addCallback(lambda _: (request.write(body), request.finish()))
        request.notifyFinish().addErrback(lambda _: delayed.cancel())
        delayed.addErrback(lambda _: None)
        return NOT_DONE_YET


def _read_stream(request: Request) -> str:
    return request.path.rpartition(b"/")[2].decode("latin-1")
