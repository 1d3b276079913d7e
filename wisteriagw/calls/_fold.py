"""Fold of a partition's stream."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.calls._calls_state import CallsState
from wisteriagw.calls._claim_entry import ClaimEntry
from wisteriagw.findings import Finding
from wisteriagw.records import CallBatch, CallClaimed, CallFinished, decode_record

KEY_VALID_SECONDS = 3600.0
MAX_RELEASED_CLAIMS = 100_000


def apply_call_record(record: Any, state: CallsState, offset: int) -> CallsState:
    """Return the state after a record; records of other kinds change nothing.

    Validity is counted between the times in the batches and never against the reader's
    clock, so that all readers of the stream agree on the first claim.
    """
    if not isinstance(record, CallBatch):
        return state
    for number, data in enumerate(record.entries):
        if not isinstance(data, bytes):
            continue
        entry = decode_record(data, f"offset {offset}, entry {number}")
        if isinstance(entry, Finding):
            continue
        apply_entry(entry, state, record.written_at)
    first = state.first_written_at
    state = state._replace(
        first_written_at=record.written_at if first is None else first,
        last_written_at=max(state.last_written_at, record.written_at),
    )
    _drop_expired(state)
    return state


@singledispatch
def apply_entry(entry: Any, state: CallsState, written_at: float) -> None:
    """Apply one entry of a batch to the state, in place."""


@apply_entry.register
def _(entry: CallClaimed, state: CallsState, written_at: float) -> None:
    if entry.nonce in state.released:
        return
    key = (entry.customer, entry.key_hash)
    first = state.claims.get(key)
    if first is not None and written_at - first.written_at <= KEY_VALID_SECONDS:
        return
    state.claims[key] = ClaimEntry(entry.nonce, entry.request_digest, written_at)
    state.by_age.append((written_at, key))


@apply_entry.register
def _(entry: CallFinished, state: CallsState, written_at: float) -> None:
    key = (entry.customer, entry.key_hash)
    first = state.claims.get(key)
    if not entry.ran:
        state.released[entry.nonce] = written_at
        if len(state.released) > MAX_RELEASED_CLAIMS:
            del state.released[next(iter(state.released))]
        # A recorded result is kept, because the call has run.
        if first and first.nonce == entry.nonce and first.finished is None:
            del state.claims[key]
        return
    if first is None or first.nonce != entry.nonce or first.finished is not None:
        return
    state.claims[key] = first._replace(finished=entry)


def _drop_expired(state: CallsState) -> None:
    # Twice the validity, so that the claims with which a batch must be compared are
    # still present if its time is a little behind the latest one.
    oldest = state.last_written_at - 2 * KEY_VALID_SECONDS
    while state.by_age and state.by_age[0][0] < oldest:
        written_at, key = state.by_age.popleft()
        entry = state.claims.get(key)
        if entry is not None and entry.written_at == written_at:
            del state.claims[key]
    while state.released:
        nonce = next(iter(state.released))
        if state.released[nonce] >= oldest:
            return
        del state.released[nonce]
