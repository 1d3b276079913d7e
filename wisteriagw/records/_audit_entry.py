"""Log record: entry of the audit trail."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class AuditEntry(NamedTuple):
    """An action and its result.

    Attributes
    ----------
    actor : str
        Operator, or program and VM.
    action, subject : str
        What was done to what.
    customer : str
        Customer concerned, empty if none is.
    before, after : dict
        State of the subject as far as the action concerns it.
    cause : str
        Why it was done.
    revision : int
        Configuration revision that it rests on.
    result : str
        What became of it.
    at : float
        Wall time in seconds.
    """

    actor: str
    action: str
    subject: str
    customer: str
    before: dict
    after: dict
    cause: str
    revision: int
    result: str
    at: float
