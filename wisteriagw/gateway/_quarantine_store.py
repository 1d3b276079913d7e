"""Quarantines of prompt parts in the store, which survive the loss of all VMs."""

from __future__ import annotations

import json
import logging
import math
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from wisteriagw.gateway._background import start_background
from wisteriagw.jsondata import load_json
from wisteriagw.platform import QUARANTINES_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._authority_controller import AuthorityController
    from wisteriagw.gateway._crashing_parts import CrashingParts
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)

# All quarantines are one record, so that a change is one call.
RECORD_KEY = "quarantines"
READ_RETRY_SECONDS = 0.5
# A process that cannot read the store for longer learns the quarantines from its peers.
MAX_READS = 60


class QuarantineStore:
    """Reads the quarantines at the start; the holder of the authority writes them.

    Ages are converted to the wall clock in the store; a clock that is off by seconds
    changes the length of a quarantine by as much.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        crashing_parts: CrashingParts,
        wall_clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._crashing_parts = crashing_parts
        self._wall_clock = wall_clock
        self._written: frozenset[tuple[str, ...]] = frozenset()
        store.eras.subscribe(self._handle_restore)

    def start(self) -> None:
        """Read the quarantines in the background."""
        start_background(self.read(), "read of the quarantines")

    async def read(self) -> None:
        """Take over the quarantines in the store, retrying while it is unavailable."""
        for _ in range(MAX_READS):
            try:
                page = await self._store.read_newest(QUARANTINES_TOPIC)
            except StoreUnavailableError:
                await deferLater(self._reactor, READ_RETRY_SECONDS)
                continue
            for record in page.records:
                self._adopt(record.value)
            return

    async def write(self, authority: AuthorityController) -> None:
        """Write the quarantines if they have changed and this VM holds the authority.

        Raises StoreUnavailableError; the next call tries again.
        """
        rows = self._crashing_parts.list_quarantine_rows(self._reactor.seconds())
        current = frozenset(tuple(sorted(row[0])) for row in rows)
        if authority.get_fencing_number() is None:
            # Another holder may write in the meantime.
            self._written = frozenset()
            return
        if current == self._written:
            return
        now = self._wall_clock()
        entries = [
            [parts, now - first_age, now - age, seconds]
            for parts, first_age, age, seconds in rows
        ]
        value = json.dumps(entries).encode("utf-8")
        await self._store.append(QUARANTINES_TOPIC, [(RECORD_KEY, value)])
        self._written = current

    def _handle_restore(self) -> None:
        self._written = frozenset()

    def _adopt(self, value: bytes) -> None:
        now = self._wall_clock()
        try:
            rows = [
                (tuple(map(str, parts)), now - first_at, now - began_at, float(seconds))
                for parts, first_at, began_at, seconds in load_json(value or b"[]")
            ]
            if not all(math.isfinite(sum(row[1:])) for row in rows):
                raise ValueError("a time is not finite")
        except (ArithmeticError, TypeError, ValueError) as error:
            logger.warning("the quarantines in the store are not valid: %s", error)
            return
        self._crashing_parts.adopt_quarantines(rows, self._reactor.seconds())
