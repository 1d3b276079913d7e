"""VMs of the system, found through the store and heard through the mesh."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from wisteriagw.gateway._member import Member
from wisteriagw.gateway._topic_follower import TopicFollower
from wisteriagw.platform import MEMBERS_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

# Entries change only when a VM starts or ends, so reads wait for long.
WAIT_SECONDS = 15.0
# When all VMs start, each would read once for each other one: calls by the square of
# their number. Relays have to know new VMs soon, the others learn from them who is up.
RELAY_PACE_SECONDS = 1.0
PACE_SECONDS = 4.0
# Silence after which callers are sent elsewhere, until it is set by the rate of the
# messages.
HEARD_SECONDS = 1.0
WRITE_PAUSE_SECONDS = 0.5


class Members:
    """Registers this VM and knows which others are up.

    Attributes
    ----------
    entries : dict of str to Member
        VMs that have registered and not left.
    heard_seconds : float
        Silence after which a VM does not count as heard.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        own: Member,
    ) -> None:
        self.entries: dict[str, Member] = {own.vm: own}
        self.heard_seconds = HEARD_SECONDS
        self._reactor = reactor
        self._store = store
        self._own = own
        self._heard: dict[str, tuple[float, bool]] = {}
        self._started_at: dict[str, float] = {}
        self._writing: Deferred[None] | None = None
        self.follower = TopicFollower(
            reactor,
            store,
            MEMBERS_TOPIC,
            WAIT_SECONDS,
            self._take_snapshot,
            self._take_records,
            RELAY_PACE_SECONDS,
        )

    def register(self) -> None:
        """Write the own entry until the store has it, then follow the others'."""
        self._write(json.dumps(self._own._asdict()).encode("utf-8"))
        self.follower.start()

    def leave(self) -> None:
        """Remove the own entry."""
        self._write(b"")

    def list_up(self, now: float) -> list[Member]:
        """Return the other VMs that are heard and ready."""
        found = []
        for vm, member in self.entries.items():
            heard_at, ready = self._heard.get(vm, (float("-inf"), False))
            if vm != self._own.vm and ready and now - heard_at < self.heard_seconds:
                found.append(member)
        return found

    def list_heard(self, now: float) -> list[str]:
        """Return the VMs that are heard, this one included."""
        heard = [self._own.vm]
        for vm, (heard_at, _) in self._heard.items():
            if vm in self.entries and now - heard_at < self.heard_seconds:
                heard.append(vm)
        return heard

    def list_ages(self, now: float, ready: bool) -> list[tuple[str, bool, float]]:
        """Return rows of VM, whether it takes requests, and time since it was heard."""
        rows = [(self._own.vm, ready, 0.0)]
        for vm in self.list_heard(now):
            if vm != self._own.vm:
                heard_at, is_ready = self._heard[vm]
                rows.append((vm, is_ready, now - heard_at))
        return rows

    def note_heard(self, vm: str, ready: bool, at: float) -> None:
        """Take that a VM was heard, by this VM or by one that tells of it."""
        known_at, _ = self._heard.get(vm, (float("-inf"), False))
        if at > known_at and vm != self._own.vm:
            self._heard[vm] = (at, ready)

    def note_started(self, vm: str, at: float) -> None:
        """Take when the oldest process that a VM knows of started."""
        self._started_at[vm] = at

    def find_earliest_start(self, now: float) -> float:
        """Return when the oldest of the other known processes started."""
        heard = set(self.list_heard(now))
        return min(
            (at for vm, at in self._started_at.items() if vm in heard), default=now
        )

    def set_acting(self, acting: bool) -> None:
        """Read as often as a relay has to, or more rarely."""
        self.follower.pace = RELAY_PACE_SECONDS if acting else PACE_SECONDS

    def _write(self, value: bytes) -> None:
        if self._writing is not None:
            self._writing.cancel()
        self._writing = Deferred.fromCoroutine(self._write_entry(value))
        self._writing.addErrback(lambda failure: failure.trap(CancelledError))

    async def _write_entry(self, value: bytes) -> None:
        while True:
            try:
                await self._store.append(MEMBERS_TOPIC, [(self._own.vm, value)])
            except StoreUnavailableError as error:
                logger.warning("cannot write the own entry: %s", error)
                await deferLater(self._reactor, WRITE_PAUSE_SECONDS)
                continue
            return

    def _take_snapshot(self, records: tuple[StoreRecord, ...]) -> None:
        present = {record.key for record in records if record.value}
        for vm in list(self.entries):
            if vm not in present and vm != self._own.vm:
                del self.entries[vm]
        self._take_records(records)

    def _take_records(self, records: tuple[StoreRecord, ...]) -> None:
        for record in records:
            if record.key == self._own.vm:
                continue
            if not record.value:
                self.entries.pop(record.key, None)
                continue
            try:
                member = Member(**json.loads(record.value))
            except (ValueError, TypeError) as error:
                logger.warning("entry of VM %s: %s", record.key, error)
                continue
            self.entries[member.vm] = member
            logger.info("VM %s in %s is registered", member.vm, member.data_centre)
