"""Monitoring of the settings file."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.findings import Finding
    from wisteriagw.platform import NodeSettings

logger = logging.getLogger(__name__)


class SettingsMonitor:
    """Reads the settings again and logs what a restart would change.

    The addresses and bounds of a running process stay as they are: a changed file is
    checked and logged, and takes effect at the next start.
    """

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        read: Callable[[], NodeSettings | list[Finding]],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._read = read

    def start(self, seconds: float) -> None:
        """Check the file periodically."""
        loop = LoopingCall(self.check, "interval")
        loop.clock = self._reactor
        loop.start(seconds, now=False)

    def check(self, cause: str) -> None:
        """Read the settings and log what has changed."""
        settings = self._read()
        if isinstance(settings, list):
            for finding in settings:
                logger.warning("settings: %s: %s", finding.place, finding.message)
            return
        if settings == self._settings:
            if cause == "signal":
                logger.info("settings read again after a signal: no change")
            return
        changed = [
            name
            for name, old, new in zip(
                settings._fields, self._settings, settings, strict=True
            )
            if old != new
        ]
        self._settings = settings
        logger.info("settings changed (%s): %s", cause, ", ".join(changed))
