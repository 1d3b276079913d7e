"""Scenario of the policy benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.measure._phase import Phase


class Scenario(NamedTuple):
    """Phases and faults; ``orders`` is true if servers may be ordered and released."""

    phases: tuple[Phase, ...]
    faults: tuple[tuple[float, Any], ...] = ()
    orders: bool = False
