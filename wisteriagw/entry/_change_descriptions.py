"""Descriptions of changes for the audit trail, by type of record."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.config import ConfigState
from wisteriagw.entry._change_description import ChangeDescription
from wisteriagw.records import (
    CustomerCreated,
    DrainEnded,
    DrainRequested,
    KeyGiven,
    KeyWithdrawn,
    SheetPublished,
)


@singledispatch
def describe_change(record: Any, before: ConfigState) -> ChangeDescription:
    """Return the description of a record, given the configuration before it."""
    raise TypeError(f"{type(record).__name__} is not a change of the configuration")


@describe_change.register
def _(record: CustomerCreated, before: ConfigState) -> ChangeDescription:
    return ChangeDescription(
        "create_customer", record.customer, record.customer, "", "created"
    )


@describe_change.register
def _(record: KeyGiven, before: ConfigState) -> ChangeDescription:
    subject = record.key_hash.hex()
    return ChangeDescription("give_key", subject, record.customer, "", "valid")


@describe_change.register
def _(record: KeyWithdrawn, before: ConfigState) -> ChangeDescription:
    customer = before.key_customers.get(record.key_hash, "")
    state = "valid" if customer else "unknown"
    subject = record.key_hash.hex()
    return ChangeDescription("withdraw_key", subject, customer, state, "withdrawn")


@describe_change.register
def _(record: SheetPublished, before: ConfigState) -> ChangeDescription:
    current, based_on = before.sheet_revision, record.based_on
    return ChangeDescription(
        "publish_sheet", "sheet", "", f"revision {current}", f"based on {based_on}"
    )


@describe_change.register
def _(record: DrainRequested, before: ConfigState) -> ChangeDescription:
    state = _describe_drain(record.backend_server, before)
    return ChangeDescription("drain", record.backend_server, "", state, "draining")


@describe_change.register
def _(record: DrainEnded, before: ConfigState) -> ChangeDescription:
    state = _describe_drain(record.backend_server, before)
    return ChangeDescription("end_drain", record.backend_server, "", state, "serving")


def _describe_drain(backend_server: str, config: ConfigState) -> str:
    return "draining" if backend_server in config.draining else "serving"
