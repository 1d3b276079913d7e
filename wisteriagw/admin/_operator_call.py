"""A call of the operators' interface."""

from __future__ import annotations

from typing import Any, NamedTuple


class OperatorCall(NamedTuple):
    """What a subcommand sends.

    Attributes
    ----------
    method, path : str
        Route with its query.
    body : dict or None
        JSON body.
    repeatable : bool
        Whether the call may be sent to another address when its outcome is unknown.
    """

    method: str
    path: str
    body: dict[str, Any] | None
    repeatable: bool


def build_read(path: str) -> OperatorCall:
    """Return a call that reads."""
    return OperatorCall("GET", path, None, repeatable=True)


def build_change(path: str, body: dict[str, Any]) -> OperatorCall:
    """Return a call that makes a change."""
    return OperatorCall("POST", path, body, repeatable=False)
