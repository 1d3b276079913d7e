"""Operators' interface: drains of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.config import Refusal
from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._change_refused import ChangeRefused
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.records import DrainEnded, DrainRequested

if TYPE_CHECKING:
    from wisteriagw.config import ConfigState


def build_drain(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange | ChangeRefused:
    """Return the change of ``POST /v1/drains``."""
    name = require_text(body, "backend_server")
    if all(row["name"] != name for row in config.sheet["backend_servers"]):
        message = f"no backend server {name!r} on the sheet"
        return ChangeRefused(Refusal("not_found", message))
    return RequestedChange(DrainRequested(name, operator, nonce), {})


def build_drain_end(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange | ChangeRefused:
    """Return the change of ``POST /v1/drain-ends``."""
    name = require_text(body, "backend_server")
    if name not in config.draining:
        message = f"backend server {name!r} is not draining"
        return ChangeRefused(Refusal("not_found", message))
    return RequestedChange(DrainEnded(name, operator, nonce), {})
