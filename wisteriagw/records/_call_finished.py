"""Log record: the claimant of a call has finished it."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CallFinished(NamedTuple):
    """Result of a claim.

    Attributes
    ----------
    customer : str
        Customer of the call.
    key_hash : bytes
        SHA-256 of the idempotency key.
    nonce : str
        Identifier of the claim.
    ran : bool
        False if the call was never sent to a backend server and never will be under
        this claim; the key can then be claimed again.
    status : int
        HTTP status of the response; 0 without one.
    content_type : str
        Content type of the body.
    body : bytes
        Body of the response; empty if it is longer than the log stores.
    whole : bool
        Whether ``body`` is the complete response.
    """

    customer: str
    key_hash: bytes
    nonce: str
    ran: bool
    status: int
    content_type: str
    body: bytes
    whole: bool
