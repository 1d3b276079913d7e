"""Filter of the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.records import AuditEntry


class AuditFilter(NamedTuple):
    """Conditions on entries; an empty string matches every entry."""

    customer: str
    backend_server: str
    since: float
    until: float

    def matches(self, entry: AuditEntry) -> bool:
        """Return whether an entry meets every condition."""
        return (
            self.customer in ("", entry.customer)
            and self.backend_server in ("", entry.subject)
            and self.since <= entry.at <= self.until
        )
