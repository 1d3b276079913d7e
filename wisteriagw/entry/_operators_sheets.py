"""Operators' interface: publishing of a sheet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.config import parse_sheet
from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.entry._sheet_refused import SheetRefused
from wisteriagw.records import SheetPublished

if TYPE_CHECKING:
    from wisteriagw.config import ConfigState


def build_publication(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange | SheetRefused:
    """Return the change of ``POST /v1/sheets``.

    ``based_on`` names the sheet revision that the operator's sheet replaces; without
    it, the revision at the tip of the log is used.
    """
    based_on = body.get("based_on", config.sheet_revision)
    if type(based_on) is not int:
        raise ValueError("'based_on' must be an integer")
    sheet, findings = parse_sheet(require_text(body, "sheet"))
    if findings:
        return SheetRefused(tuple(findings))
    record = SheetPublished(based_on, dict(sheet), operator, nonce)
    return RequestedChange(record, {})
