"""Sending of calls to the operators' interfaces, one address after the other."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Generator, Sequence

    from twisted.internet.defer import Deferred

    from wisteriagw.admin._operator_call import OperatorCall
    from wisteriagw.http import HttpClient

# A change waits up to 5 s for its append to the log and up to 5 s for its acceptance.
CALL_TIMEOUT_SECONDS = 30.0


@inlineCallbacks
def send_call(
    client: HttpClient,
    addresses: Sequence[tuple[str, int]],
    headers: dict[str, str],
    call: OperatorCall,
) -> Generator[Deferred[Any], Any, Any]:
    """Send a call to the addresses in turn; return the outcome of the last one tried.

    A change is sent to the next address only if it cannot have reached the one before.
    """
    body = None if call.body is None else json.dumps(call.body).encode("utf-8")
    outcome: Any = FailedNotRun("no operators' address is given")
    for address in addresses:
        outcome = yield client.send(
            address, call.method, call.path, body, headers, timeout=CALL_TIMEOUT_SECONDS
        )
        if not may_try_next_address(outcome, call):
            return outcome
    return outcome


@singledispatch
def may_try_next_address(outcome: Any, call: OperatorCall) -> bool:
    """Return whether a call may be sent to the next address."""
    return False


@may_try_next_address.register
def _(outcome: FailedNotRun, call: Any) -> bool:
    return True


@may_try_next_address.register
def _(outcome: MayHaveRun, call: Any) -> bool:
    return call.repeatable


@may_try_next_address.register
def _(outcome: Done, call: Any) -> bool:
    return call.repeatable and outcome.status >= 500
