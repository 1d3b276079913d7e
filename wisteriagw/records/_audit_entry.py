"""Log record: an entry of the audit trail."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class AuditEntry(NamedTuple):
    """Who changed what, why, and what came of it.

    Attributes
    ----------
    actor, action, subject, customer : str
        Who did what to which thing; the customer is empty where none is concerned.
    before, after : str
        The changed value in short text form.
    cause : str
        Reason that the actor gave.
    revision : int
        Revision of the configuration that the change got, -1 if none is known.
    result : str
        ``accepted``, ``refused`` or ``unknown``.
    at : float
        Wall clock in seconds.
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
