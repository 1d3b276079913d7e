"""Operators' interface: validation of a sheet without publishing it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.config import parse_sheet
from wisteriagw.entry._change_answers import build_answer
from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._sheet_refused import SheetRefused
from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class SheetChecksResource(Resource):
    """Serves ``POST /v1/sheet-checks``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_POST(self, request: Request) -> Any:
        """Validate a sheet and list all faults."""
        try:
            text = require_text(read_json_object(request), "sheet")
        except ValueError as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        sheet, findings = parse_sheet(text)
        if findings:
            write_json(request, *build_answer(SheetRefused(tuple(findings))))
            return NOT_DONE_YET
        rows = {table: len(found) for table, found in sheet.items()}
        answer = {"rows": rows, "sheet_revision": self._context.config.sheet_revision}
        write_json(request, 200, answer)
        return NOT_DONE_YET
