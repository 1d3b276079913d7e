"""Audit trail of changes, orders and their results."""

from __future__ import annotations

from wisteriagw.audit._audit_filter import AuditFilter
from wisteriagw.audit._audit_writer import AUDIT_STREAM, AuditWriter

__all__ = ["AUDIT_STREAM", "AuditFilter", "AuditWriter"]
