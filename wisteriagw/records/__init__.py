"""Record types of the platform's log and their codec."""

from __future__ import annotations

from wisteriagw.records._audit_entry import AuditEntry
from wisteriagw.records._checkpoint_part import CheckpointPart
from wisteriagw.records._codec import decode_record, encode_record
from wisteriagw.records._customer_created import CustomerCreated
from wisteriagw.records._drain_ended import DrainEnded
from wisteriagw.records._drain_requested import DrainRequested
from wisteriagw.records._key_given import KeyGiven
from wisteriagw.records._key_withdrawn import KeyWithdrawn
from wisteriagw.records._registry import register_record
from wisteriagw.records._sheet_published import SheetPublished

__all__ = [
    "AuditEntry",
    "CheckpointPart",
    "CustomerCreated",
    "DrainEnded",
    "DrainRequested",
    "KeyGiven",
    "KeyWithdrawn",
    "SheetPublished",
    "decode_record",
    "encode_record",
    "register_record",
]
