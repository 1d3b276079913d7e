"""Mesh message: request for records of the configuration."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ConfigRequest(NamedTuple):
    """Requests the records of the configuration from an offset on."""

    start: int
