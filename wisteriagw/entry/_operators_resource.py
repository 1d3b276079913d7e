"""Operators' interface: changes of the configuration."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.config import create_key, hash_key, parse_sheet
from wisteriagw.entry._entry_context import CONFIG_STREAM
from wisteriagw.http import read_json_object, write_error, write_json
from wisteriagw.platform import LogUnavailableError
from wisteriagw.records import (
    CustomerCreated,
    KeyGiven,
    KeyWithdrawn,
    SheetPublished,
    encode_record,
)

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

NONCE_BYTES = 8


class OperatorsResource(Resource):
    """Serves ``POST /v1/{customers,keys,withdrawals,sheets}``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_POST(self, request: Request) -> Any:
        """Make one change."""
        try:
            body = read_json_object(request)
            self._change(request, body)
        except (KeyError, ValueError) as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
        return NOT_DONE_YET

    def _change(self, request: Request, body: dict[str, Any]) -> None:
        operator = str(body.get("operator", ""))
        nonce = secrets.token_hex(NONCE_BYTES)
        subject = request.path.rpartition(b"/")[2].decode("latin-1")
        if subject == "customers":
            record = CustomerCreated(str(body["customer"]), operator, nonce)
            self._append(request, record, {})
            return
        if subject == "keys":
            key = create_key()
            customer = str(body["customer"])
            record = KeyGiven(customer, hash_key(key), operator, nonce)
            self._append(request, record, {"key": key})
            return
        if subject == "withdrawals":
            record = KeyWithdrawn(hash_key(str(body["key"])), operator, nonce)
            self._append(request, record, {})
            return
        if subject == "sheets":
            self._publish(request, str(body["sheet"]), operator, nonce)
            return
        write_error(request, 404, "not_found", f"no {subject!r} here", not_run=True)

    def _publish(self, request: Request, text: str, operator: str, nonce: str) -> None:
        sheet, findings = parse_sheet(text)
        if findings:
            faults = [finding._asdict() for finding in findings]
            error = {"code": "invalid_sheet", "not_run": True, "findings": faults}
            write_json(request, 400, {"error": error})
            return
        based_on = self._context.config.sheet_revision
        self._append(
            request, SheetPublished(based_on, dict(sheet), operator, nonce), {}
        )

    @inlineCallbacks
    def _append(
        self, request: Request, record: Any, answer: dict[str, Any]
    ) -> Generator[Deferred[Any], Any, None]:
        try:
            offset = yield self._context.log.append(
                CONFIG_STREAM, encode_record(record)
            )
            yield self._context.config_follower.poll()
        except LogUnavailableError as error:
            message = f"the change may still take effect: {error}"
            write_error(request, 503, "log_unavailable", message, not_run=False)
            return
        write_json(request, 200, {"revision": offset, **answer})
