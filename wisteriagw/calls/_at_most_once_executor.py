"""Execution of calls that may run at most once."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.calls._claim_expired import ClaimExpired
from wisteriagw.calls._claim_unavailable import ClaimUnavailable
from wisteriagw.calls._claim_won import ClaimWon
from wisteriagw.calls._partitions import find_partition
from wisteriagw.outcomes import Done, FailedNotRun, RefusedNotRun
from wisteriagw.records import CallClaimed, CallFinished

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.calls._claim_appender import ClaimAppender
    from wisteriagw.outcomes import Outcome

# A claimant that was paused for longer does not send: another claim could win after the
# validity of the key ends, and both calls would run.
MAX_CLAIM_AGE_SECONDS = 30.0
MAX_RECORDED_BODY_BYTES = 4096
NONCE_BYTES = 12
RELEASING_RESULTS = (FailedNotRun, RefusedNotRun, ClaimExpired, ClaimUnavailable)


class AtMostOnceExecutor:
    """Sends a call only if its claim was read back as the first one of its key."""

    def __init__(self, appender: ClaimAppender, clock: Callable[[], float]) -> None:
        self._appender = appender
        self._clock = clock

    @inlineCallbacks
    def run(
        self, claim: CallClaimed, send: Callable[[], Deferred[Outcome]]
    ) -> Generator[Deferred[Any], Any, Any]:
        """Return the outcome of the call, or the decision that prevented it.

        Parameters
        ----------
        claim : CallClaimed
            Claim with a unique nonce.
        send : callable
            Makes the call and returns its outcome; never fails.
        """
        claimed_at = self._clock()
        partition = find_partition(claim.customer, claim.key_hash)
        result = yield self._appender.claim(partition, claim)
        if isinstance(result, ClaimWon):
            age = self._clock() - claimed_at
            if age <= MAX_CLAIM_AGE_SECONDS:
                result = yield send()
            else:
                result = ClaimExpired(age)
        finished = build_finished_record(claim, result)
        if finished is not None:
            self._appender.finish(partition, finished)
        return result


def build_claim(
    customer: str, idempotency_key: str, request: bytes, claimant: str
) -> CallClaimed:
    """Return a new claim for a call.

    Parameters
    ----------
    customer, idempotency_key : str
        Identity of the call.
    request : bytes
        Complete content of the call; other content under the same key is a conflict.
    claimant : str
        VM that will send the call.
    """
    return CallClaimed(
        customer,
        hashlib.sha256(idempotency_key.encode("utf-8")).digest(),
        hashlib.sha256(request).digest(),
        claimant,
        secrets.token_hex(NONCE_BYTES),
    )


def build_finished_record(claim: CallClaimed, result: Any) -> CallFinished | None:
    """Return the record of the result of a claim, or None if nothing is recorded.

    A claim whose call was not and will not be sent is released, so that the caller can
    repeat the call under the same key.
    """
    identity = (claim.customer, claim.key_hash, claim.nonce)
    if isinstance(result, Done):
        whole = len(result.body) <= MAX_RECORDED_BODY_BYTES
        body = result.body if whole else b""
        return CallFinished(
            *identity, True, result.status, result.content_type, body, whole
        )
    if isinstance(result, RELEASING_RESULTS):
        return CallFinished(*identity, False, 0, "", b"", False)
    return None
