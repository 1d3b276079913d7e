"""Log record: an entry of the audit trail."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class AuditEntry(NamedTuple):
    """A change with its author, reason and result.

    Attributes
    ----------
    actor, action, subject, customer : str
        Operator or process, its action, the object that it changed, and the customer
        concerned; empty where there is none.
    before, after : str
        Value before and after the change, in short text form.
    cause : str
        Reason stated by the actor.
    revision : int
        Configuration revision of the change, -1 if unknown.
    result : str
        ``accepted``, ``refused`` or ``unknown``.
    at : float
        Wall-clock time in seconds.
    """

    actor: str
    action: str
    subject: str
    customer: str
    before: str
    after: str
    cause: str
    revision: int
    result: str
    at: float
