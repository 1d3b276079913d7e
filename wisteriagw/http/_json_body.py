"""Parsing of JSON request bodies."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from twisted.web.server import Request


def read_json_object(request: Request) -> dict[str, Any]:
    """Return the JSON object in a request's body, or raise ValueError."""
    request.content.seek(0)
    try:
        value = json.loads(request.content.read())
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"the body is not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise ValueError("the body is not a JSON object")
    return value
