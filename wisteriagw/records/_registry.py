"""Registry of log record types."""

from __future__ import annotations

from wisteriagw.registry import TypeRegistry

RECORDS = TypeRegistry("record")
register_record = RECORDS.register
