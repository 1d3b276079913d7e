"""Log record: the claimant of a call has finished with it."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CallFinished(NamedTuple):
    """What became of a claim.

    Attributes
    ----------
    customer : str
        Customer of the call.
    key_hash : bytes
        SHA-256 of the idempotency key.
    nonce : str
        Identity of the claim.
    ran : bool
        False if the call was never handed to a backend server and never will be under
        this claim; the key is then free again.
    status : int
        Status of the answer; 0 without one.
    content_type : str
        Type of the body.
    body : bytes
        The answer; empty if it is longer than what the log keeps.
    whole : bool
        Whether ``body`` is the whole answer.
    """

    customer: str
    key_hash: bytes
    nonce: str
    ran: bool
    status: int
    content_type: str
    body: bytes
    whole: bool
