"""JSON replies of the HTTP servers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from twisted.web.server import Request


def write_json(request: Request, status: int, value: Any) -> None:
    """Finish a request with a JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.write(json.dumps(value).encode("utf-8"))
    request.finish()


def write_error(
    request: Request, status: int, code: str, message: str, *, not_run: bool
) -> None:
    """Finish a request with an error that says whether the request was run."""
    request.error_code, request.not_run = code, not_run
    error = {"code": code, "message": message, "not_run": not_run}
    write_json(request, status, {"error": error})
