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

# A read that waits proves the configuration as of its start, so the wait is part of its
# age. It is short against the time in which a withdrawn key must stop to work.
WAIT_PART = 0.4
# A request with a key runs only while the configuration is younger than this part of
# that time; the rest covers the way from the caller and to the backend server.
FRESH_PART = 0.8


class ConfigurationFeed:
    """Follows the operator's configuration; versions never go back.

    Attributes
    ----------
    table : RoutingTable or None
        The newest version, None before the first.
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
        self._fresh_seconds = FRESH_PART * withdrawal_seconds
        self._on_change = on_change
        self.follower = TopicFollower(
            reactor,
            store,
            CONFIGURATION_TOPIC,
            WAIT_PART * withdrawal_seconds,
            self._take_records,
            self._take_records,
        )

    def get_age(self) -> float:
        """Return the seconds since the configuration was known to be the newest."""
        return self._reactor.seconds() - self.follower.read_at

    def is_fresh(self) -> bool:
        """Return whether no key can have been withdrawn for too long."""
        return self.table is not None and self.get_age() < self._fresh_seconds

    def _take_records(self, records: tuple[StoreRecord, ...]) -> None:
        for record in records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            table = decode_configuration(record.value)
            if isinstance(table, Finding):
                logger.warning("offset %d: %s", record.offset, table.message)
                continue
            if self.table is not None and table.version <= self.table.version:
                continue
            self.table = table
            logger.info("configuration version %d is in force", table.version)
            self._on_change(table)
