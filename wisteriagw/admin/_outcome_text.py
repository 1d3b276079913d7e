"""Human-readable form of failed outcomes."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.admin._operator_call import OperatorCall


@singledispatch
def build_error(outcome: Any, call: OperatorCall) -> dict[str, Any]:
    """Return the error of an outcome in the form of the operators' interface."""
    raise TypeError(f"{type(outcome).__name__} is not an outcome")


@build_error.register
def _(outcome: Done, call: Any) -> dict[str, Any]:
    try:
        return json.loads(outcome.body)["error"]
    except (ValueError, KeyError, TypeError):
        message = f"status {outcome.status} with an invalid body"
        return {"code": "unknown", "message": message, "not_run": call.repeatable}


@build_error.register
def _(outcome: FailedNotRun, call: Any) -> dict[str, Any]:
    message = f"no operators' address is reachable: {outcome.reason}"
    return {"code": "unreachable", "message": message, "not_run": True}


@build_error.register
def _(outcome: MayHaveRun, call: Any) -> dict[str, Any]:
    message = f"no answer: {outcome.reason}"
    return {"code": "may_have_run", "message": message, "not_run": call.repeatable}


def format_error(error: dict[str, Any]) -> str:
    """Return the human-readable form of an error, with one line per finding."""
    lines = [f"{error.get('code')}: {error.get('message')}"]
    for finding in error.get("findings", ()):
        lines.append(f"{finding['place']}: {finding['message']}")
    if not error.get("not_run"):
        lines.append(
            "The outcome is unknown: the change may have taken effect or may still do "
            "so. It was not repeated; check 'audit' and 'fleet' before you repeat it."
        )
    return "\n".join(lines)
