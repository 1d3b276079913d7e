"""A call of the operators' interface."""

from __future__ import annotations

from typing import Any, NamedTuple


class OperatorCall(NamedTuple):
    """A request of a subcommand to the operators' interface.

    Attributes
    ----------
    method, path : str
        HTTP method, and path with the query.
    body : dict or None
        JSON body.
    repeatable : bool
        Whether the call may be repeated at another address if its outcome is unknown.
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
