"""Changes of the configuration through the log."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients import LogUnavailableError
from wisteriagw.clocks import read_wall_time
from wisteriagw.config import NO_REVISION, find_refusal
from wisteriagw.entry._change_committed import ChangeCommitted
from wisteriagw.entry._change_descriptions import describe_change
from wisteriagw.entry._change_not_run import ChangeNotRun
from wisteriagw.entry._change_refused import ChangeRefused
from wisteriagw.entry._change_unknown import ChangeUnknown
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.records import AuditEntry, encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.config import ConfigState
    from wisteriagw.entry._entry_context import EntryContext

CONFIG_STREAM = "config"
# Number and interval of the lookups of a record whose append had no reply.
MAX_LOOKUPS = 10
LOOKUP_INTERVAL_SECONDS = 0.5
# Other VMs confirm with their heartbeats, which are sent every second; 5 s is the bound
# for a configuration to be in force.
MAX_ACCEPTANCE_CHECKS = 50
ACCEPTANCE_CHECK_SECONDS = 0.1


@inlineCallbacks
def make_change(
    context: EntryContext, build: Callable[[ConfigState], Any], cause: str
) -> Generator[Deferred[Any], Any, Any]:
    """Make a change and write its audit entry; returns a tagged outcome.

    The configuration is read to the tip first, so that a conflict is refused
    without a record and a log outage is detected before anything is sent.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    build : callable
        Returns the RequestedChange for the configuration at the tip, or an outcome.
    cause : str
        Reason that the operator gave.
    """
    try:
        yield context.poll_config()
    except LogUnavailableError as error:
        return ChangeNotRun(f"the log cannot be read: {error}")
    if context.config_follower.state_incomplete:
        return ChangeNotRun("state_incomplete: configuration records are missing")
    before = context.config
    change = build(before)
    if not isinstance(change, RequestedChange):
        return change
    record = change.record
    refusal = find_refusal(record, before)
    if refusal is not None:
        outcome = ChangeRefused(refusal)
    else:
        outcome = yield _append(context, change)
    description = describe_change(record, before)
    revision, result = _summarize(outcome)
    entry = AuditEntry(
        actor=record.operator,
        **description._asdict(),
        cause=cause,
        revision=revision,
        result=result,
        at=read_wall_time(),
    )
    context.audit.write(entry)
    return outcome


@inlineCallbacks
def _append(
    context: EntryContext, change: RequestedChange
) -> Generator[Deferred[Any], Any, Any]:
    record = change.record
    reason = "the record could not be read back"
    try:
        yield context.log.append(CONFIG_STREAM, encode_record(record))
    except LogUnavailableError as error:
        if not error.may_have_run:
            return ChangeNotRun(f"the log was not reached: {error}")
        reason = str(error)
    for _ in range(MAX_LOOKUPS):
        try:
            yield context.poll_config()
        except LogUnavailableError as error:
            reason = str(error)
        found = context.recent_changes.find(record.nonce)
        if found is not None:
            break
        yield context.sleep(LOOKUP_INTERVAL_SECONDS)
    else:
        return ChangeUnknown(record.nonce, reason)
    if found.refusal is not None:
        return ChangeRefused(found.refusal)
    for _ in range(MAX_ACCEPTANCE_CHECKS):
        if context.decide_acceptance(found.offset).accepted:
            break
        yield context.sleep(ACCEPTANCE_CHECK_SECONDS)
    acceptance = context.decide_acceptance(found.offset)
    return ChangeCommitted(found.offset, acceptance, change.answer)


@singledispatch
def _summarize(outcome: Any) -> tuple[int, str]:
    """Return the revision and the result for the audit entry."""
    raise TypeError(f"{type(outcome).__name__} is not the outcome of a change")


@_summarize.register
def _(outcome: ChangeCommitted) -> tuple[int, str]:
    result = "accepted" if outcome.acceptance.accepted else "unconfirmed"
    return outcome.revision, result


@_summarize.register
def _(outcome: ChangeRefused) -> tuple[int, str]:
    return NO_REVISION, "refused"


@_summarize.register
def _(outcome: ChangeNotRun) -> tuple[int, str]:
    return NO_REVISION, "not run"


@_summarize.register
def _(outcome: ChangeUnknown) -> tuple[int, str]:
    return NO_REVISION, "unknown"
