"""First claim of an idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.records import CallFinished


class ClaimEntry(NamedTuple):
    """Claim under which the call may run, and its result once that is recorded."""

    nonce: str
    request_digest: bytes
    written_at: float
    finished: CallFinished | None = None
