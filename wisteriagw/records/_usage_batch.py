"""Log record: partials of the usage counted by entry processes."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class UsageBatch(NamedTuple):
    """Partials batched in one record, to need few appends after a long log outage.

    Attributes
    ----------
    partials : list
        The fields of each ``wisteriagw.usage.UsagePartial``, in order.
    """

    partials: list
