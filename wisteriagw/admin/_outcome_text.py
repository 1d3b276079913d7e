"""Readable form of outcomes that are no success."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.admin._operator_call import OperatorCall


@singledispatch
def build_error(outcome: Any, call: OperatorCall) -> dict[str, Any]:
    """Return the error of an outcome in the form that the interface uses."""
    raise TypeError(f"{type(outcome).__name__} is not an outcome")


@build_error.register
def _(outcome: Done, call: Any) -> dict[str, Any]:
    try:
        return json.loads(outcome.body)["error"]
    except (ValueError, KeyError, TypeError):
        message = f"status {outcome.status} with a body that cannot be read"
        return {"code": "unknown", "message": message, "not_run": call.repeatable}


@build_error.register
def _(outcome: FailedNotRun, call: Any) -> dict[str, Any]:
    message = f"no operators' address can be reached: {outcome.reason}"
    return {"code": "unreachable", "message": message, "not_run": True}


@build_error.register
def _(outcome: MayHaveRun, call: Any) -> dict[str, Any]:
    message = f"no answer: {outcome.reason}"
    return {"code": "may_have_run", "message": message, "not_run": call.repeatable}


def format_error(error: dict[str, Any]) -> str:
    """Return the readable form of an error, with every finding on its own line."""
    lines = [f"{error.get('code')}: {error.get('message')}"]
    for finding in error.get("findings", ()):
        lines.append(f"{finding['place']}: {finding['message']}")
    if not error.get("not_run"):
        lines.append(
            "The outcome is unknown: the change may have taken effect or may still do "
            "so. It was not repeated; look at 'audit' and 'fleet' first."
        )
    return "\n".join(lines)
