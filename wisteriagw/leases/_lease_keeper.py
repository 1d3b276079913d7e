"""Following and keeping of one authority through the log."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.follower import StreamFollower
from wisteriagw.leases._decisions import (
    compute_act_until,
    decide_append,
    find_unproved,
    observe_tip,
)
from wisteriagw.leases._fold import (
    apply_record,
    build_empty_leases,
    get_entry,
    lose_records,
)
from wisteriagw.leases._lease import NO_OFFSET
from wisteriagw.leases._lease_view import LeaseView
from wisteriagw.records import encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import LogClient
    from wisteriagw.leases._former_holder import FormerHolder
    from wisteriagw.leases._lease_entry import LeaseEntry
    from wisteriagw.leases._observation import Observation
    from wisteriagw.leases._process_identity import ProcessIdentity

LEASES_STREAM = "leases"
NONCE_BYTES = 8
# Appends that are older than this many others cannot be the head any more: each was
# followed by a read to the tip.
MAX_KEPT_APPENDS = 64


def create_nonce() -> str:
    """Return a random nonce."""
    return secrets.token_hex(NONCE_BYTES)


class LeaseKeeper:
    """Claims, renews and releases one authority for a process.

    Attributes
    ----------
    process : ProcessIdentity
        This process; its control address must be bound.
    busy : bool
        Whether an order of this process may still take effect; the owner sets it.
    stopping : bool
        Whether the authority shall be given up; the owner sets it.
    """

    def __init__(
        self,
        log: LogClient,
        authority: str,
        process: ProcessIdentity,
        clock: Callable[[], float],
        make_nonce: Callable[[], str] = create_nonce,
    ) -> None:
        self.process = process
        self.busy = False
        self.stopping = False
        self._log = log
        self._authority = authority
        self._clock = clock
        self._make_nonce = make_nonce
        self._follower = StreamFollower(
            log,
            LEASES_STREAM,
            build_empty_leases(),
            apply_record,
            clock,
            lose_records=lose_records,
        )
        self._observation: Observation | None = None
        self._appends: dict[str, float] = {}
        self._vms: frozenset[str] = frozenset()
        self._vms_read_at = float("-inf")
        self._vms_through = NO_OFFSET

    @property
    def entry(self) -> LeaseEntry:
        """What the log says of the authority."""
        return get_entry(self._follower.state, self._authority)

    @property
    def through(self) -> int:
        """Last offset of the lease stream that was read."""
        return self._follower.next_offset - 1

    def get_fencing_number(self) -> int | None:
        """Return the number for an order sent now, or None if none may be sent."""
        if self.stopping:
            return None
        lease = self.entry.lease
        until = compute_act_until(lease, self.process, self._appends)
        if until is None or self._clock() >= until:
            return None
        return lease.grant

    def find_unproved(self) -> tuple[FormerHolder, ...]:
        """Return the former holders whose end is not proved."""
        return find_unproved(self._build_view())

    def is_released(self) -> bool:
        """Return whether the log shows that this process gave up every grant."""
        lease = self.entry.lease
        if lease is None or lease.incarnation == self.process.incarnation:
            return False
        incarnations = [former.incarnation for former in lease.former]
        return self.process.incarnation not in incarnations

    def set_vms(self, vms: frozenset[str], read_at: float, through: int) -> None:
        """Take a VM list whose request was sent at a time, after an offset was read."""
        self._vms = vms
        self._vms_read_at = read_at
        self._vms_through = through

    @inlineCallbacks
    def run_turn(self) -> Generator[Deferred[Any], Any, None]:
        """Read to the tip and append what is due; fails with LogUnavailableError.

        An append whose reply is lost fails here; the next turn reads to the tip before
        anything else is appended.
        """
        yield self._follower.poll()
        self._observe()
        nonce = self._make_nonce()
        record = decide_append(self._build_view(), nonce, self._clock())
        if record is None:
            return
        if getattr(record, "nonce", None) == nonce:
            self._keep_append(nonce)
        yield self._log.append(LEASES_STREAM, encode_record(record))
        yield self._follower.poll()
        self._observe()

    def _observe(self) -> None:
        entry = self.entry
        head = entry.last_record if entry.lease is None else entry.lease.head
        self._observation = observe_tip(self._observation, head, self._clock())

    def _keep_append(self, nonce: str) -> None:
        self._appends[nonce] = self._clock()
        while len(self._appends) > MAX_KEPT_APPENDS:
            del self._appends[next(iter(self._appends))]

    def _build_view(self) -> LeaseView:
        now = self._clock()
        head = NO_OFFSET
        return LeaseView(
            authority=self._authority,
            entry=self.entry,
            start=self._follower.state.start,
            through=self.through,
            process=self.process,
            appends=self._appends,
            observation=self._observation or observe_tip(None, head, now),
            vms=self._vms,
            vms_read_at=self._vms_read_at,
            vms_through=self._vms_through,
            busy=self.busy,
            stopping=self.stopping,
        )
