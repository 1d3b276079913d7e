"""Log record: partials of the usage that entry processes counted."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class UsageBatch(NamedTuple):
    """Partials in one record, so that a long log outage costs few appends.

    Attributes
    ----------
    partials : list
        The fields of each ``wisteriagw.usage.UsagePartial``, in order.
    """

    partials: list
