"""Responses to callers by the result of a request."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from twisted.web.server import Request

from wisteriagw.calls import (
    ClaimConflict,
    ClaimExpired,
    ClaimLost,
    ClaimUnavailable,
)
from wisteriagw.http import write_error
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun

REFUSAL_STATUSES = {"deadline": 504, "overloaded": 503, "no_backend_server": 503}


@singledispatch
def write_result(result: Any, request: Request) -> None:
    """Finish a caller's request with its result."""
    raise TypeError(f"no response for a result of type {type(result).__name__}")


@write_result.register
def _(result: Done, request: Request) -> None:
    request.setResponseCode(result.status)
    request.setHeader(b"content-type", result.content_type.encode("latin-1"))
    request.write(result.body)
    request.finish()


@write_result.register
def _(result: RefusedNotRun, request: Request) -> None:
    code = result.code if result.code in REFUSAL_STATUSES else "overloaded"
    status = REFUSAL_STATUSES[code]
    write_error(request, status, code, result.message, not_run=True)


@write_result.register
def _(result: FailedNotRun, request: Request) -> None:
    write_error(request, 503, "no_backend_server", result.reason, not_run=True)


@write_result.register
def _(result: MayHaveRun, request: Request) -> None:
    write_error(request, 502, "may_have_run", result.reason, not_run=False)


@write_result.register
def _(result: ClaimLost, request: Request) -> None:
    finished = result.finished
    if finished is None or not finished.whole:
        message = "another call with this idempotency key is running or has run"
        write_error(request, 409, "duplicate_call", message, not_run=False)
        return
    request.setHeader(b"wisteriagw-recorded", b"true")
    write_result(Done(finished.status, finished.body, finished.content_type), request)


@write_result.register
def _(result: ClaimConflict, request: Request) -> None:
    message = "the idempotency key belongs to another call"
    write_error(request, 409, "conflict", message, not_run=True)


@write_result.register
def _(result: ClaimUnavailable, request: Request) -> None:
    write_error(request, 503, "log_unavailable", result.reason, not_run=True)


@write_result.register
def _(result: ClaimExpired, request: Request) -> None:
    message = f"the claim was {result.age_seconds:.1f} s old when it was read back"
    write_error(request, 503, "log_unavailable", message, not_run=True)
