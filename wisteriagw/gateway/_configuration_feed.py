"""Configuration in force on this VM."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from wisteriagw.findings import Finding
from wisteriagw.gateway._topic_follower import TopicFollower
from wisteriagw.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    decode_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.platform import StoreClient, StoreRecord
    from wisteriagw.routes import RoutingTable

logger = logging.getLogger(__name__)

# Wait of a long poll, as a fraction of the time within which a withdrawn key must stop
# working. A long poll confirms the configuration as of its start, so just before the
# end of the next one the age is that of two waits and two calls.
WAIT_FRACTION = 0.3
# A request with a key runs only while the configuration is younger than this fraction
# of that time; the rest covers the latency from the caller and to the backend server.
FRESH_FRACTION = 0.8
UNKNOWN_VERSION = -1


class ConfigurationFeed:
    """Follows the operator's configuration; its version never decreases.

    A store that was restored from a copy may return an older version until the operator
    has written the newest one again. Until then a read confirms the configuration only
    if it shows the version that this VM or a peer remembers.

    Attributes
    ----------
    table : RoutingTable or None
        The newest version, None until the first is read.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        withdrawal_seconds: float,
        on_change: Callable[[RoutingTable], None],
    ) -> None:
        self.table: RoutingTable | None = None
        self._reactor = reactor
        self._fresh_seconds = FRESH_FRACTION * withdrawal_seconds
        self._on_change = on_change
        self._eras = store.eras
        self._eras.subscribe(self._remember_own)
        self._remembered = UNKNOWN_VERSION
        self._shown = UNKNOWN_VERSION
        self.follower = TopicFollower(
            reactor,
            store,
            CONFIGURATION_TOPIC,
            WAIT_FRACTION * withdrawal_seconds,
            self._apply_snapshot,
            self._apply_records,
            is_current=self._is_current,
        )

    def get_age(self) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return self._reactor.seconds() - self.follower.read_at

    def get_version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    def is_fresh(self) -> bool:
        """Return whether the configuration is recent enough to accept keys."""
        return self.table is not None and self.get_age() < self._fresh_seconds

    def remember(self, version: int) -> None:
        """Record a version that a peer has in force; older ones confirm nothing."""
        self._remembered = max(self._remembered, version)
        if self.table is None or version > self.table.version:
            self.follower.resume_reads()

    def _remember_own(self) -> None:
        if self.table is not None:
            self._remembered = max(self._remembered, self.table.version)

    def _is_current(self) -> bool:
        if self._eras.is_settled():
            return True
        return self._remembered != UNKNOWN_VERSION and self._shown >= self._remembered

    def _apply_snapshot(self, records: tuple[StoreRecord, ...]) -> None:
        self._shown = UNKNOWN_VERSION
        self._apply_records(records)

    def _apply_records(self, records: tuple[StoreRecord, ...]) -> None:
        for record in records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            table = decode_configuration(record.value)
            if isinstance(table, Finding):
                logger.warning(
                    "configuration at offset %d is ignored: %s",
                    record.offset,
                    table.message,
                )
                continue
            self._shown = max(self._shown, table.version)
            if self.table is not None and table.version <= self.table.version:
                if table.version < self.table.version:
                    logger.info(
                        "configuration version %d at %s is older than version %d",
                        table.version,
                        record.position,
                        self.table.version,
                    )
                continue
            self.table = table
            logger.info(
                "configuration version %d is in force, read at %s",
                table.version,
                record.position,
            )
            self._on_change(table)
