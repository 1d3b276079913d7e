"""Registry of mesh message types."""

from __future__ import annotations

from wisteriagw.registry import TypeRegistry

MESSAGES = TypeRegistry("message")
register_message = MESSAGES.register
