"""Operators' interface: audit trail."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.audit import AUDIT_STREAM, AuditFilter
from wisteriagw.clients import LogUnavailableError
from wisteriagw.entry._query import read_number, read_text
from wisteriagw.http import write_error, write_json
from wisteriagw.records import AuditEntry, decode_record

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.clients import LogPage
    from wisteriagw.entry._entry_context import EntryContext

PAGE_RECORDS = 500


class AuditResource(Resource):
    """Serves ``GET /v1/audit?from=&customer=&backend_server=&since=&until=``.

    An answer covers one page of the stream, so that a long trail does not block the
    event loop. ``next_offset`` is the offset of the next page and ``at_tip`` whether
    the page reached the end of the stream.
    """

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the matching entries of a page."""
        try:
            start = int(read_number(request, "from", 0))
            entry_filter = AuditFilter(
                read_text(request, "customer"),
                read_text(request, "backend_server"),
                read_number(request, "since", 0.0),
                read_number(request, "until", sys.float_info.max),
            )
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        self._answer(request, start, entry_filter)
        return NOT_DONE_YET

    @inlineCallbacks
    def _answer(
        self, request: Request, start: int, entry_filter: AuditFilter
    ) -> Generator[Deferred[Any], Any, None]:
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        try:
            page = yield self._context.log.read(AUDIT_STREAM, start, PAGE_RECORDS)
        except LogUnavailableError as error:
            if not disconnects:
                write_error(request, 503, "log_unavailable", str(error), not_run=True)
            return
        if not disconnects:
            write_json(request, 200, build_audit_answer(page, start, entry_filter))


def build_audit_answer(
    page: LogPage, start: int, entry_filter: AuditFilter
) -> dict[str, Any]:
    """Return the matching entries of a page without duplicates."""
    entries: dict[AuditEntry, int] = {}
    next_offset = max(start, page.first_offset)
    for offset, data in page.records:
        next_offset = offset + 1
        record = decode_record(data)
        if isinstance(record, AuditEntry) and entry_filter.matches(record):
            entries.setdefault(record, offset)
    found = [{"offset": offset, **entry._asdict()} for entry, offset in entries.items()]
    return {
        "entries": found,
        "next_offset": next_offset,
        "at_tip": next_offset >= page.next_offset,
        "missing_before": page.first_offset if page.first_offset > start else None,
    }
