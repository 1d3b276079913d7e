"""Description of one metric."""

from __future__ import annotations

from typing import NamedTuple


class Metric(NamedTuple):
    """A metric sent to statsd.

    Attributes
    ----------
    name : str
        Name without the prefix ``wisteriagw.{program}.{vm}``.
    kind : str
        ``counter``, ``gauge`` or ``timer``.
    unit : str
        Unit of the value.
    help : str
        One sentence for ``docs/metrics.md``.
    """

    name: str
    kind: str
    unit: str
    help: str
