"""Controller of the lease of one authority."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.follower import StreamFollower
from wisteriagw.leases._decisions import (
    compute_act_until,
    decide_append,
    list_unproved_holders,
    observe_tip,
)
from wisteriagw.leases._fold import (
    apply_record,
    apply_record_loss,
    build_empty_leases,
    get_entry,
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
# An append followed by this many others cannot be the head any more, because a read to
# the tip follows each of them.
MAX_TRACKED_APPENDS = 64


def create_nonce() -> str:
    """Return a random nonce."""
    return secrets.token_hex(NONCE_BYTES)


class LeaseController:
    """Claims, renews and releases one authority for a process.

    Attributes
    ----------
    process : ProcessIdentity
        This process; its control address must be bound.
    busy : bool
        Whether an order of this process may still take effect; the owner sets it.
    stopping : bool
        Whether the authority is to be released; the owner sets it.
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
            apply_record_loss=apply_record_loss,
        )
        self._observation: Observation | None = None
        self._appends: dict[str, float] = {}
        self._vms: frozenset[str] = frozenset()
        self._vms_read_at = float("-inf")
        self._vms_through = NO_OFFSET

    @property
    def entry(self) -> LeaseEntry:
        """Lease of the authority according to the log."""
        return get_entry(self._follower.state, self._authority)

    @property
    def through(self) -> int:
        """Last offset of the lease stream that was read."""
        return self._follower.next_offset - 1

    def get_fencing_number(self) -> int | None:
        """Return the fencing number for an order now, or None if none may be sent."""
        if self.stopping:
            return None
        lease = self.entry.lease
        until = compute_act_until(lease, self.process, self._appends)
        if until is None or self._clock() >= until:
            return None
        return lease.grant

    def list_unproved_holders(self) -> tuple[FormerHolder, ...]:
        """Return the former holders whose end is not proved."""
        return list_unproved_holders(self._build_view())

    def is_released(self) -> bool:
        """Return whether the log shows that this process released every grant."""
        lease = self.entry.lease
        if lease is None or lease.incarnation == self.process.incarnation:
            return False
        incarnations = [former.incarnation for former in lease.former]
        return self.process.incarnation not in incarnations

    def set_vms(self, vms: frozenset[str], read_at: float, through: int) -> None:
        """Set the VM list, its request time and the last offset read before that."""
        self._vms = vms
        self._vms_read_at = read_at
        self._vms_through = through

    @inlineCallbacks
    def run_cycle(self) -> Generator[Deferred[Any], Any, None]:
        """Read to the tip and append a record if due; fails with LogUnavailableError.

        An append whose reply is lost fails here; the next cycle reads to the tip before
        it appends another record.
        """
        yield self._follower.poll()
        self._observe()
        nonce = self._make_nonce()
        record = decide_append(self._build_view(), nonce, self._clock())
        if record is None:
            return
        if getattr(record, "nonce", None) == nonce:
            self._record_append(nonce)
        yield self._log.append(LEASES_STREAM, encode_record(record))
        yield self._follower.poll()
        self._observe()

    def _observe(self) -> None:
        entry = self.entry
        head = entry.last_record if entry.lease is None else entry.lease.head
        self._observation = observe_tip(self._observation, head, self._clock())

    def _record_append(self, nonce: str) -> None:
        self._appends[nonce] = self._clock()
        while len(self._appends) > MAX_TRACKED_APPENDS:
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
