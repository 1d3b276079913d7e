"""Failure to open a connection."""

from __future__ import annotations


class ConnectFailedError(Exception):
    """No connection was opened, so nothing was sent."""
