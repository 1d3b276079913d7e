"""Identity of a request that callers send again."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
# Ids of prompt parts are hexadecimal, so that none equals a fingerprint.
PREFIX = "request:"


def compute_fingerprint(target: bytes, customer: str, body: bytes) -> str:
    """Return what requests with the same target, customer and body have in common.

    It is tracked like a prompt part: one that is in no other request.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for value in (target, customer.encode("utf-8"), body):
        digest.update(len(value).to_bytes(8, "big"))
        digest.update(value)
    return PREFIX + digest.hexdigest()
