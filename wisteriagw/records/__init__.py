"""Record types of the platform's log and their codec."""

from __future__ import annotations

from wisteriagw.records._audit_entry import AuditEntry
from wisteriagw.records._call_batch import CallBatch
from wisteriagw.records._call_claimed import CallClaimed
from wisteriagw.records._call_finished import CallFinished
from wisteriagw.records._checkpoint_part import CheckpointPart
from wisteriagw.records._codec import (
    decode_record,
    encode_record,
)
from wisteriagw.records._customer_created import CustomerCreated
from wisteriagw.records._drain_ended import DrainEnded
from wisteriagw.records._drain_requested import DrainRequested
from wisteriagw.records._figures_recorded import FiguresRecorded
from wisteriagw.records._key_given import KeyGiven
from wisteriagw.records._key_withdrawn import KeyWithdrawn
from wisteriagw.records._lease_checkpoint import LeaseCheckpoint
from wisteriagw.records._lease_claim import LeaseClaim
from wisteriagw.records._lease_release import LeaseRelease
from wisteriagw.records._lease_renewal import LeaseRenewal
from wisteriagw.records._lease_reset import LeaseReset
from wisteriagw.records._order_intent import OrderIntent
from wisteriagw.records._order_settled import OrderSettled
from wisteriagw.records._registry import register_record
from wisteriagw.records._sheet_published import SheetPublished
from wisteriagw.records._usage_batch import UsageBatch
from wisteriagw.records._window_reported import WindowReported
from wisteriagw.records._window_sealed import WindowSealed

__all__ = [
    "AuditEntry",
    "CallBatch",
    "CallClaimed",
    "CallFinished",
    "CheckpointPart",
    "CustomerCreated",
    "DrainEnded",
    "DrainRequested",
    "FiguresRecorded",
    "KeyGiven",
    "KeyWithdrawn",
    "LeaseCheckpoint",
    "LeaseClaim",
    "LeaseRelease",
    "LeaseRenewal",
    "LeaseReset",
    "OrderIntent",
    "OrderSettled",
    "SheetPublished",
    "UsageBatch",
    "WindowReported",
    "WindowSealed",
    "decode_record",
    "encode_record",
    "register_record",
]
