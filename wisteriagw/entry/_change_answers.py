"""Responses of the operators' interface to the outcomes of changes."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.entry._change_committed import ChangeCommitted
from wisteriagw.entry._change_not_run import ChangeNotRun
from wisteriagw.entry._change_refused import ChangeRefused
from wisteriagw.entry._change_unknown import ChangeUnknown
from wisteriagw.entry._sheet_refused import SheetRefused

if TYPE_CHECKING:
    from wisteriagw.findings import Finding

STATUSES = {"conflict": 409, "not_found": 404}


@singledispatch
def build_answer(outcome: Any) -> tuple[int, dict[str, Any]]:
    """Return the status and the body that report an outcome to an operator."""
    raise TypeError(f"{type(outcome).__name__} is not the outcome of a change")


@build_answer.register
def _(outcome: ChangeCommitted) -> tuple[int, dict[str, Any]]:
    spread = outcome.acceptance._asdict()
    return 200, {"revision": outcome.revision, **spread, **outcome.answer}


@build_answer.register
def _(outcome: ChangeRefused) -> tuple[int, dict[str, Any]]:
    refusal = outcome.refusal
    error = _build_error(refusal.code, refusal.message, not_run=True)
    if refusal.winner:
        error["winner"] = refusal.winner
        error["revision"] = refusal.revision
    return STATUSES[refusal.code], {"error": error}


@build_answer.register
def _(outcome: ChangeNotRun) -> tuple[int, dict[str, Any]]:
    error = _build_error("log_unavailable", outcome.reason, not_run=True)
    return 503, {"error": error}


@build_answer.register
def _(outcome: ChangeUnknown) -> tuple[int, dict[str, Any]]:
    message = f"the change may still take effect: {outcome.reason}"
    error = _build_error("log_unavailable", message, not_run=False)
    return 503, {"error": {**error, "nonce": outcome.nonce}}


@build_answer.register
def _(outcome: SheetRefused) -> tuple[int, dict[str, Any]]:
    error = _build_error("invalid_sheet", "the sheet has faults", not_run=True)
    return 400, {"error": {**error, "findings": list_findings(outcome.findings)}}


def list_findings(findings: tuple[Finding, ...]) -> list[dict[str, str]]:
    """Return the JSON form of findings."""
    return [finding._asdict() for finding in findings]


def _build_error(code: str, message: str, *, not_run: bool) -> dict[str, Any]:
    return {"code": code, "message": message, "not_run": not_run}
