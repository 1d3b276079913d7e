"""Log record: a call with an idempotency key was claimed."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CallClaimed(NamedTuple):
    """A claimant asks to run a call; the first claim in the log may run it.

    Attributes
    ----------
    customer : str
        Customer of the call.
    key_hash, request_digest : bytes
        SHA-256 of the idempotency key, and of everything that makes up the call.
    claimant, nonce : str
        VM that asks, and the identity of this claim.
    """

    customer: str
    key_hash: bytes
    request_digest: bytes
    claimant: str
    nonce: str
