"""Dispatch of queued requests to backend servers by an entry VM."""

from __future__ import annotations

from wisteriagw.dispatch._dispatch_limits import DispatchLimits
from wisteriagw.dispatch._dispatched import Dispatched
from wisteriagw.dispatch._dispatcher import Dispatcher

__all__ = ["DispatchLimits", "Dispatched", "Dispatcher"]
