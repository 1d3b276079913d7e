"""Registered backend servers."""

from __future__ import annotations

from wisteriagw.fleet._backend_server import BackendServer
from wisteriagw.fleet._fleet import Fleet

__all__ = ["BackendServer", "Fleet"]
