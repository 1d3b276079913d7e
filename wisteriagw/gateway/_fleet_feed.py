"""Backend servers known to this VM."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import xxhash

from wisteriagw.eras import NOWHERE, UNKNOWN_ERA, StorePosition
from wisteriagw.findings import Finding
from wisteriagw.fleet import Fleet
from wisteriagw.gateway._topic_follower import TopicFollower
from wisteriagw.gateway.notices import NoticeBoard
from wisteriagw.notices import Departure
from wisteriagw.platform import (
    CALL_TIMEOUT_SECONDS,
    REGISTER_TOPIC,
    StoreRecord,
    decode_entry,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)

# Time for which a read waits for records, and its maximum.
WAIT_SECONDS = 2.0
MAX_WAIT_SECONDS = 5.0
# All backend servers together report several times a second; reading in batches saves
# calls, and a leaving server is still known well before it must receive no more work.
MIN_READ_INTERVAL_SECONDS = 0.4
# The platform states that entries which expired during an outage of the store are
# registered again within about two seconds of its recovery. A missing entry may also
# belong to a server that left, which must receive no requests 2 s later; the rest
# covers the latency of a request.
REREGISTRATION_SECONDS = 1.7
# Time for the read that follows a lost one, and for a request that was placed before.
READ_MARGIN_SECONDS = 0.3
# Servers whose newest position is kept, removed ones included, so that older records
# are ignored. Beyond this number the position updated least recently is dropped: a
# delayed row of a relay is never overtaken by records of as many other servers.
MAX_POSITIONS = 4_096


class FleetFeed:
    """Follows the register of backend servers.

    Parameters
    ----------
    on_lost : callable
        Receives each server that ended, restarted or was removed.
    wait : float
        Seconds for which a read waits for records (`find_read_wait`).
    notices : NoticeBoard or None
        Departures of servers, which other VMs may know of before this one.

    Attributes
    ----------
    fleet : Fleet
        Entries in force; those of servers that gave notice to leave say so.
    notices : NoticeBoard
        What servers said of themselves.
    era : int
        Era of the store in which all entries were last read.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        on_lost: Callable[[BackendServer], None],
        wait: float = WAIT_SECONDS,
        notices: NoticeBoard | None = None,
    ) -> None:
        self.fleet = Fleet({})
        self._reactor = reactor
        self.notices = notices or NoticeBoard(reactor.seconds)
        self.notices.on_change = self._apply_notices
        self._registered: dict[str, BackendServer] = {}
        self._on_lost = on_lost
        self._missing: set[str] = set()
        # Position of the removal of a server that is not known to be back.
        self._removals: dict[str, StorePosition] = {}
        self._positions: OrderedDict[str, StorePosition] = OrderedDict()
        self._changes: list[StoreRecord] = []
        self.era = UNKNOWN_ERA
        self._digest: int | None = None
        self.follower = TopicFollower(
            reactor,
            store,
            REGISTER_TOPIC,
            wait,
            self._apply_snapshot,
            self.apply_records,
            MIN_READ_INTERVAL_SECONDS,
        )

    def compute_digest(self) -> int:
        """Return a digest of the entries as they are registered."""
        if self._digest is None:
            rows = sorted(self._registered.values())
            self._digest = xxhash.xxh3_64_intdigest(repr(rows).encode("utf-8"))
        return self._digest

    def pop_changes(self) -> list[StoreRecord]:
        """Return the changes since the last call as records."""
        changes, self._changes = self._changes, []
        return changes

    def apply_relayed_changes(self, records: Iterable[StoreRecord]) -> None:
        """Apply changes that a relay has read and sent on.

        Those of an era whose entries this VM has not read yet are ignored: they do not
        tell which entries were restored from a copy.
        """
        for record in records:
            if record.era != self.era:
                continue
            if record.position < self._positions.get(record.key, NOWHERE):
                continue
            if record.value:
                self.apply_records((record,))
                continue
            known = self.fleet.servers.get(record.key)
            if known is not None:
                self._record_position(record.key, record.position)
                self._drop(known)

    def _apply_snapshot(self, records: tuple[StoreRecord, ...]) -> None:
        end = self.follower.position
        if end.era != self.era:
            logger.info("reading the register anew up to %s", end)
            self.era = int(end.era)
            self._removals.clear()
            self.notices.table.extend_departures(end._replace(offset=end.offset - 1))
        present = {record.key for record in records if record.value}
        for name in list(self.fleet.servers):
            if name not in present:
                self._remove(name)
        self.apply_records(records)

    def apply_records(self, records: Iterable[StoreRecord]) -> None:
        """Apply records of the register in their order."""
        for record in records:
            if record.position < self._positions.get(record.key, NOWHERE):
                # A relay has already sent a newer record.
                continue
            self._record_position(record.key, record.position)
            if not record.value:
                self._removals[record.key] = record.position
                self._remove(record.key)
                continue
            entry = decode_entry(record.key, record.value)
            if isinstance(entry, Finding):
                logger.info("%s: %s", entry.place, entry.message)
                continue
            self._put(entry, record)

    def _record_position(self, name: str, position: StorePosition) -> None:
        self._positions[name] = position
        self._positions.move_to_end(name)
        if len(self._positions) > MAX_POSITIONS:
            self._positions.popitem(last=False)

    def _put(self, entry: BackendServer, record: StoreRecord) -> None:
        self._missing.discard(entry.name)
        self._removals.pop(entry.name, None)
        known = self._registered.get(entry.name)
        effective = self.fleet.servers.get(entry.name)
        if known is not None and known.born > entry.born:
            # Outdated report of an earlier process with the same name.
            return
        if known is not None and known.born != entry.born:
            self._on_lost(known)
        self._registered[entry.name] = self.fleet.servers[entry.name] = entry
        if entry.leaving:
            self._report_departure(entry, record.position)
        self._apply_notices(entry.name)
        if known == entry and effective == self.fleet.servers[entry.name]:
            return
        self._digest = None
        self._changes.append(record)
        logger.info(
            "backend server %s of %s in %s: %s %s",
            entry.name,
            entry.service,
            entry.data_centre,
            entry.stage,
            "leaving" if entry.leaving else "ready",
        )

    def _apply_notices(self, name: str) -> None:
        known = self.fleet.servers.get(name)
        if known is None or known.leaving:
            return
        if self.notices.table.is_leaving(known, self._positions.get(name, NOWHERE)):
            self.fleet.servers[name] = known._replace(leaving=True)
            logger.info(
                "backend server %s of %s gave notice that it leaves",
                name,
                known.service,
            )

    def _report_departure(self, server: BackendServer, position: StorePosition) -> None:
        self.notices.record(Departure(server.name, server.born, position))

    def _remove(self, name: str) -> None:
        known = self.fleet.servers.get(name)
        if known is None:
            self._removals.pop(name, None)
            return
        left = (
            self.follower.recovered_at
            + REREGISTRATION_SECONDS
            - self._reactor.seconds()
        )
        if left > 0 or not self.follower.available:
            self._missing.add(name)
            kept = left if left > 0 else REREGISTRATION_SECONDS
            logger.info(
                "entry of backend server %s is missing after an outage of the store, "
                "kept for %.2f s",
                name,
                kept,
            )
            self._reactor.callLater(kept, self._remove_missing, name)
            return
        self._drop(known)

    def _remove_missing(self, name: str) -> None:
        known = self.fleet.servers.get(name)
        if name in self._missing and known is not None:
            self._missing.discard(name)
            self._drop(known)

    def _drop(self, known: BackendServer) -> None:
        del self.fleet.servers[known.name]
        self._registered.pop(known.name, None)
        self._digest = None
        position = self._positions.get(known.name, NOWHERE)
        # A snapshot that lacks a server proves nothing: it may be out of date.
        removed_at = self._removals.pop(known.name, None)
        if removed_at is not None:
            self._report_departure(known, removed_at)
        self._changes.append(
            StoreRecord(int(position.offset), known.name, b"", int(position.era))
        )
        logger.info("backend server %s of %s is gone", known.name, known.service)
        self._on_lost(known)


def find_read_wait(contact_seconds: float, drain_seconds: float) -> float:
    """Return the seconds for which a read of the register waits for records.

    A read that is lost in an outage, and the time for which missing entries are kept
    after it, end before a server must receive no more requests that left once the store
    had been back for ``contact_seconds``.
    """
    wait = (
        contact_seconds
        + drain_seconds
        - REREGISTRATION_SECONDS
        - CALL_TIMEOUT_SECONDS
        - READ_MARGIN_SECONDS
    )
    return min(MAX_WAIT_SECONDS, max(MIN_READ_INTERVAL_SECONDS, wait))
