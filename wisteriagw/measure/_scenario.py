"""Scenario of the measuring tool."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.measure._phase import Phase


class Scenario(NamedTuple):
    """Phases and faults; ``orders`` tells whether the fleet may be changed."""

    phases: tuple[Phase, ...]
    faults: tuple[tuple[float, Any], ...] = ()
    orders: bool = False
