"""Log record: a call with an idempotency key was claimed."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CallClaimed(NamedTuple):
    """A claim to run a call; only the first claim of a call in the log may run it.

    Attributes
    ----------
    customer : str
        Customer of the call.
    key_hash, request_digest : bytes
        SHA-256 of the idempotency key, and of the whole request.
    claimant, nonce : str
        VM that makes the claim, and unique identifier of the claim.
    """

    customer: str
    key_hash: bytes
    request_digest: bytes
    claimant: str
    nonce: str
