"""Description of a change for the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class ChangeDescription(NamedTuple):
    """Fields of an ``AuditEntry`` that depend on the kind of the change."""

    action: str
    subject: str
    customer: str
    before: str
    after: str
