"""Rules for refusing a change, shared by the fold and the operators' interface."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.config._config_state import ConfigState
from wisteriagw.config._refusal import Refusal
from wisteriagw.records import (
    CustomerCreated,
    KeyGiven,
    SheetPublished,
)


@singledispatch
def find_refusal(record: Any, state: ConfigState) -> Refusal | None:
    """Return why a record has no effect on a configuration, or None if it applies."""
    return None


@find_refusal.register
def _(record: CustomerCreated, state: ConfigState) -> Refusal | None:
    if record.customer not in state.customers:
        return None
    return Refusal("conflict", f"customer {record.customer!r} already exists")


@find_refusal.register
def _(record: KeyGiven, state: ConfigState) -> Refusal | None:
    if record.customer not in state.customers:
        return Refusal("not_found", f"no customer {record.customer!r}")
    if record.key_hash in state.void_keys:
        return Refusal("conflict", "the key has already been withdrawn")
    return None


@find_refusal.register
def _(record: SheetPublished, state: ConfigState) -> Refusal | None:
    if record.based_on == state.sheet_revision:
        return None
    message = (
        f"based on sheet revision {record.based_on}, but revision "
        f"{state.sheet_revision} of operator {state.sheet_operator!r} is in force"
    )
    return Refusal("conflict", message, state.sheet_operator, state.sheet_revision)
