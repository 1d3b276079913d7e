"""Contribution of a partial to a customer's window."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.usage._usage_figures import UsageFigures


class UsageContribution(NamedTuple):
    """What one partial added to the figures of a customer in a window.

    Attributes
    ----------
    offset : int
        Offset in the stream of the record with the partial.
    vm, incarnation, seq : str, str, int
        Identity of the partial.
    belongs_to : int
        Window in which the work was done; an earlier one for late usage.
    figures : UsageFigures
        What was added.
    requests : list of str
        Ids of the requests that the partial counts by id for the customer.
    """

    offset: int
    vm: str
    incarnation: str
    seq: int
    belongs_to: int
    figures: UsageFigures
    requests: list[str]
