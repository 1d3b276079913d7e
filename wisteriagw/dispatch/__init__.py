"""Fair queue and routing together, as an entry VM uses them."""

from __future__ import annotations

from wisteriagw.dispatch._dispatched import Dispatched
from wisteriagw.dispatch._dispatcher import Dispatcher
from wisteriagw.dispatch._limits import Limits

__all__ = ["Dispatched", "Dispatcher", "Limits"]
