"""VMs of the system, from the store, and their liveness, from the mesh."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from wisteriagw.gateway._member import Member
from wisteriagw.gateway._topic_follower import TopicFollower
from wisteriagw.jsondata import load_record
from wisteriagw.platform import MEMBERS_TOPIC, StoreUnavailableError, parse_address

if TYPE_CHECKING:
    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

# Entries change only when a VM starts or ends, so long polls may wait long.
WAIT_SECONDS = 15.0
# When all VMs start, each would read once for every other VM, which makes the number of
# calls quadratic. Relays need to know new VMs soon; the others receive from them which
# VMs are alive.
RELAY_READ_INTERVAL_SECONDS = 1.0
MIN_READ_INTERVAL_SECONDS = 4.0
# Initial liveness timeout, after which callers are sent elsewhere; it is then set from
# the update interval.
LIVENESS_TIMEOUT_SECONDS = 1.0
WRITE_RETRY_SECONDS = 0.5


class Members:
    """Registers this VM and tracks which other VMs are alive.

    Attributes
    ----------
    entries : dict of str to Member
        VMs that are registered.
    liveness_timeout : float
        Seconds since a VM was last seen after which it does not count as alive.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        own: Member,
    ) -> None:
        self.entries: dict[str, Member] = {own.vm: own}
        self.liveness_timeout = LIVENESS_TIMEOUT_SECONDS
        self._reactor = reactor
        self._store = store
        self._own = own
        self._last_seen: dict[str, tuple[float, bool]] = {}
        self._started_at: dict[str, float] = {}
        self._writing: Deferred[None] | None = None
        self._written = b""
        store.eras.subscribe(self._write_again)
        self.follower = TopicFollower(
            reactor,
            store,
            MEMBERS_TOPIC,
            WAIT_SECONDS,
            self._apply_snapshot,
            self._apply_records,
            RELAY_READ_INTERVAL_SECONDS,
        )

    def register(self) -> None:
        """Write the entry of this VM, with retries, and follow the other entries."""
        self._write(json.dumps(self._own._asdict()).encode("utf-8"))
        self.follower.start()

    def leave(self) -> None:
        """Remove the entry of this VM."""
        self._write(b"")

    def list_ready(self, now: float) -> list[Member]:
        """Return the other VMs that are alive and ready."""
        found = []
        for vm, member in self.entries.items():
            seen_at, ready = self._last_seen.get(vm, (float("-inf"), False))
            if vm != self._own.vm and ready and now - seen_at < self.liveness_timeout:
                found.append(member)
        return found

    def list_alive(self, now: float) -> list[str]:
        """Return the VMs that are alive, this one included."""
        alive = [self._own.vm]
        for vm, (seen_at, _) in self._last_seen.items():
            if vm in self.entries and now - seen_at < self.liveness_timeout:
                alive.append(vm)
        return alive

    def list_ages(self, now: float, ready: bool) -> list[tuple[str, bool, float]]:
        """Return rows of VM, readiness and seconds since the VM was last seen."""
        rows = [(self._own.vm, ready, 0.0)]
        for vm in self.list_alive(now):
            if vm != self._own.vm:
                seen_at, is_ready = self._last_seen[vm]
                rows.append((vm, is_ready, now - seen_at))
        return rows

    def record_seen(self, vm: str, ready: bool, at: float) -> None:
        """Record when a VM was last seen, by this VM or by a relay."""
        known_at, _ = self._last_seen.get(vm, (float("-inf"), False))
        if at > known_at and vm != self._own.vm:
            self._last_seen[vm] = (at, ready)

    def record_start(self, vm: str, at: float) -> None:
        """Record when the oldest process that is known to a VM started."""
        self._started_at[vm] = at

    def find_earliest_start(self, now: float) -> float:
        """Return when the oldest process known to another live VM started."""
        alive = set(self.list_alive(now))
        return min(
            (at for vm, at in self._started_at.items() if vm in alive), default=now
        )

    def set_relay(self, is_relay: bool) -> None:
        """Set the read interval to that of a relay or of any other VM."""
        self.follower.min_read_interval = (
            RELAY_READ_INTERVAL_SECONDS if is_relay else MIN_READ_INTERVAL_SECONDS
        )

    def _write_again(self) -> None:
        # The store may have lost the entry, or its removal, after it was accepted.
        self._write(self._written)

    def _write(self, value: bytes) -> None:
        self._written = value
        if self._writing is not None:
            self._writing.cancel()
        self._writing = Deferred.fromCoroutine(self._write_entry(value))
        self._writing.addErrback(lambda failure: failure.trap(CancelledError))

    async def _write_entry(self, value: bytes) -> None:
        while True:
            try:
                await self._store.append(MEMBERS_TOPIC, [(self._own.vm, value)])
            except StoreUnavailableError as error:
                logger.warning("cannot write the entry of this VM: %s", error)
                await deferLater(self._reactor, WRITE_RETRY_SECONDS)
                continue
            return

    def _apply_snapshot(self, records: tuple[StoreRecord, ...]) -> None:
        present = {record.key for record in records if record.value}
        # A VM that is alive writes its entry again if the store has lost it.
        present.update(self.list_alive(self._reactor.seconds()))
        for vm in list(self.entries):
            if vm not in present:
                del self.entries[vm]
        self._apply_records(records)

    def _apply_records(self, records: tuple[StoreRecord, ...]) -> None:
        for record in records:
            if record.key == self._own.vm:
                continue
            if not record.value:
                self.entries.pop(record.key, None)
                continue
            try:
                member = load_record(Member, record.value)
                check_addresses(member)
            except ValueError as error:
                logger.warning("entry of VM %s is invalid: %s", record.key, error)
                continue
            self.entries[member.vm] = member
            logger.info("VM %s in %s is registered", member.vm, member.data_centre)


def check_addresses(member: Member) -> None:
    """Raise ValueError unless callers and other VMs can connect to a VM."""
    for address in (member.front, f"{member.host}:{member.port}"):
        if parse_address(address) is None:
            raise ValueError(f"has the invalid address {address!r}")
