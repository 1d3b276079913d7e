"""Serving system for a limited fleet of model engines and plain services."""

from __future__ import annotations

__version__ = "0.1.0"
