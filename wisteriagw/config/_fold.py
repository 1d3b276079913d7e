"""Fold of configuration records into the configuration state."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.config._config_state import ConfigState
from wisteriagw.config._refusals import find_refusal
from wisteriagw.records import (
    CustomerCreated,
    DrainEnded,
    DrainRequested,
    KeyGiven,
    KeyWithdrawn,
    SheetPublished,
)

NO_REVISION = -1


def build_empty_config() -> ConfigState:
    """Return the configuration before the first record."""
    return ConfigState(
        revision=NO_REVISION,
        sheet_revision=NO_REVISION,
        sheet={"customers": [], "models": [], "backend_servers": [], "routes": []},
        customers=frozenset(),
        key_customers={},
        draining=frozenset(),
    )


def apply_record(record: Any, state: ConfigState, offset: int) -> ConfigState:
    """Return the configuration after a record; older offsets have no effect."""
    if offset <= state.revision:
        return state
    if find_refusal(record, state) is not None:
        return state._replace(revision=offset)
    return _apply(record, state, offset)._replace(revision=offset)


@singledispatch
def _apply(record: Any, state: ConfigState, offset: int) -> ConfigState:
    return state


@_apply.register
def _(record: CustomerCreated, state: ConfigState, offset: int) -> ConfigState:
    return state._replace(customers=state.customers | {record.customer})


@_apply.register
def _(record: KeyGiven, state: ConfigState, offset: int) -> ConfigState:
    keys = {**state.key_customers, record.key_hash: record.customer}
    return state._replace(key_customers=keys)


@_apply.register
def _(record: KeyWithdrawn, state: ConfigState, offset: int) -> ConfigState:
    if record.key_hash not in state.key_customers:
        return state._replace(void_keys=state.void_keys | {record.key_hash})
    keys = dict(state.key_customers)
    keys.pop(record.key_hash)
    return state._replace(key_customers=keys)


@_apply.register
def _(record: SheetPublished, state: ConfigState, offset: int) -> ConfigState:
    return state._replace(
        sheet=record.sheet, sheet_revision=offset, sheet_operator=record.operator
    )


@_apply.register
def _(record: DrainRequested, state: ConfigState, offset: int) -> ConfigState:
    return state._replace(draining=state.draining | {record.backend_server})


@_apply.register
def _(record: DrainEnded, state: ConfigState, offset: int) -> ConfigState:
    return state._replace(draining=state.draining - {record.backend_server})
