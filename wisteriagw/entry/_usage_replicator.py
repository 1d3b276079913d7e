"""Replication of usage partials to peers, and their append to the log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks, maybeDeferred
from twisted.internet.task import LoopingCall

from wisteriagw.clients import LogUnavailableError
from wisteriagw.membership import (
    VmStatus,
    choose_copy_peers,
    get_status,
    list_available,
)
from wisteriagw.messages import UsageCopy, UsageCopyAck
from wisteriagw.usage import PartialCopies, UsagePartial, append_partials

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from wisteriagw.entry._entry_context import EntryContext

logger = logging.getLogger(__name__)

REPLICATION_SECONDS = 0.5
APPEND_SECONDS = 2.0
# Copies without an acknowledgement are resent; most are in the log before that.
RESEND_SECONDS = 1.0
# With 240 customers in each partial, a message stays below the limit of a mesh frame.
MAX_COPIES_PER_MESSAGE = 10
# Covers a restarted process: its VM is alive, but the old process sends no updates.
ORPHAN_TIMEOUT_SECONDS = 30.0
# After a log outage, 410 nodes append at most 410 records a second; the log accepts
# several hundred.
MAX_APPENDS_PER_CYCLE = 2
SHUTDOWN_TIMEOUT_SECONDS = 5.0


class UsageReplicator:
    """Copies partials to peers, and appends own partials and those of lost processes.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    """

    def __init__(self, context: EntryContext) -> None:
        self.copies = PartialCopies()
        self._context = context
        self._counter = context.usage.counter
        # Peers that acknowledged a copy, by sequence number, and the first pending
        # number that was sent to each peer.
        self._acked_peers: dict[int, set[str]] = {}
        self._sent_at: dict[int, float] = {}
        self._sent_first_pending: dict[str, int] = {}
        self._last_seen: dict[tuple[str, str], float] = {}

    def list_linked_vms(self) -> list[str]:
        """Return the VMs to connect to: own peers, and the origins of stored copies."""
        origins = {vm for vm, _ in self.copies.list_processes()}
        return sorted(
            origins | set(self._sent_first_pending) | set(self._choose_peers())
        )

    def replicate(self) -> None:
        """Create partials of the counted usage and send the missing copies."""
        while self._counter.create_partial() is not None:
            continue
        dropped, self._counter.dropped_requests = self._counter.dropped_requests, 0
        if dropped:
            logger.error(
                "%d requests are not billed: the usage counter is full", dropped
            )
        peers = self._choose_peers()
        members = self._context.membership.state.members
        for removed in self._sent_first_pending.keys() - members.keys():
            del self._sent_first_pending[removed]
        due = self._list_due(peers)
        for peer in sorted({*peers, *self._sent_first_pending}):
            self._send_copies(peer, due if peer in peers else [])

    @inlineCallbacks
    def append_pending(self) -> Generator[Deferred[Any], Any, None]:
        """Append own partials and those of lost processes, up to a limit per cycle."""
        log = self._context.log
        try:
            for _ in range(MAX_APPENDS_PER_CYCLE):
                pending = self._counter.list_pending()[:MAX_COPIES_PER_MESSAGE]
                appended = yield append_partials(log, pending)
                for partial in appended:
                    self._counter.mark_appended(partial.seq)
                    self._acked_peers.pop(partial.seq, None)
                    self._sent_at.pop(partial.seq, None)
            for vm, incarnation in self._list_orphans()[:MAX_APPENDS_PER_CYCLE]:
                yield self._append_orphans(vm, incarnation)
        except LogUnavailableError as error:
            logger.warning("usage partials cannot be appended; retrying: %s", error)

    def handle_copy(self, sender: str, message: UsageCopy) -> None:
        """Store the copies of a peer and drop those that are in the log."""
        process = (sender, message.incarnation)
        self._last_seen[process] = self._context.clock()
        self.copies.discard_below(*process, message.first_pending)
        stored = []
        for seq, entries, requests in message.partials:
            if self.copies.store(UsagePartial(*process, seq, entries, requests)):
                stored.append(seq)
        if stored:
            reply = UsageCopyAck(message.incarnation, tuple(stored))
            self._context.send_message(sender, reply)

    def handle_ack(self, sender: str, message: UsageCopyAck) -> None:
        """Record which copies a peer has stored."""
        for seq in message.seqs:
            if seq in self._counter.pending:
                self._acked_peers.setdefault(seq, set()).add(sender)

    @inlineCallbacks
    def shut_down(self) -> Generator[Deferred[Any], Any, None]:
        """Append all partials, or wait for copies at peers during a log outage."""
        context = self._context
        context.usage.count_open()
        deadline = context.clock() + SHUTDOWN_TIMEOUT_SECONDS
        while context.clock() < deadline:
            self.replicate()
            yield self.append_pending()
            missing = self._list_unreplicated(self._choose_peers())
            if not self._counter.pending or not missing:
                break
            yield context.sleep(REPLICATION_SECONDS)
        if self._counter.pending:
            count = len(self._counter.pending)
            logger.warning(
                "%d usage partials are not in the log; copies at peers remain", count
            )
        # Informs the peers of the partials that are in the log.
        self.replicate()

    def _choose_peers(self) -> list[str]:
        state = self._context.membership.state
        available = list_available(state, self._context.clock())
        return choose_copy_peers(state.vm, state.data_centre, available)

    def _list_unreplicated(self, peers: list[str]) -> list[UsagePartial]:
        wanted = set(peers)
        return [
            partial
            for partial in self._counter.list_pending()
            if not wanted or wanted - self._acked_peers.get(partial.seq, set())
        ]

    def _list_due(self, peers: list[str]) -> list[UsagePartial]:
        now = self._context.clock()
        due = [
            partial
            for partial in self._list_unreplicated(peers)
            if now - self._sent_at.get(partial.seq, float("-inf")) >= RESEND_SECONDS
        ]
        del due[MAX_COPIES_PER_MESSAGE:]
        if peers:
            self._sent_at.update((partial.seq, now) for partial in due)
        return due

    def _send_copies(self, peer: str, due: list[UsagePartial]) -> None:
        """Send a peer its copies, and the first sequence number that is still pending.

        A process with pending partials sends an update to its peers in every cycle, so
        that they can tell a lost process from a log outage.
        """
        first = self._counter.first_pending
        if (
            not due
            and not self._counter.pending
            and self._sent_first_pending.get(peer) == first
        ):
            return
        fields = tuple(
            (partial.seq, partial.entries, partial.requests)
            for partial in due
            if peer not in self._acked_peers.get(partial.seq, ())
        )
        incarnation = self._counter.incarnation
        self._context.send_message(peer, UsageCopy(incarnation, first, fields))
        self._sent_first_pending[peer] = first
        if not self._counter.pending and peer not in self._choose_peers():
            # A peer that misses this appends its copies, which changes no figure.
            del self._sent_first_pending[peer]

    def _list_orphans(self) -> list[tuple[str, str]]:
        state, now = self._context.membership.state, self._context.clock()
        orphans = []
        for vm, incarnation in self.copies.list_processes():
            member = state.members.get(vm)
            idle_seconds = now - self._last_seen.get((vm, incarnation), now)
            lost = member is None or get_status(state, member, now) is VmStatus.FAILED
            if lost or idle_seconds > ORPHAN_TIMEOUT_SECONDS:
                orphans.append((vm, incarnation))
        known = set(self.copies.list_processes())
        for process in set(self._last_seen) - known:
            del self._last_seen[process]
        return orphans

    @inlineCallbacks
    def _append_orphans(
        self, vm: str, incarnation: str
    ) -> Generator[Deferred[Any], Any, None]:
        partials = self.copies.list_process_partials(vm, incarnation)
        batch = partials[:MAX_COPIES_PER_MESSAGE]
        appended = yield append_partials(self._context.log, batch)
        seqs = [partial.seq for partial in appended]
        self.copies.discard(vm, incarnation, seqs)
        logger.info("appended %d usage partials of lost VM %s", len(seqs), vm)


def start_usage_replication(replicator: UsageReplicator, reactor: Any) -> None:
    """Start the periodic replication, and append the remaining partials at shutdown."""
    LoopingCall(_run_logged, replicator.replicate).start(REPLICATION_SECONDS, now=False)
    LoopingCall(_run_logged, replicator.append_pending).start(APPEND_SECONDS, now=False)
    reactor.addSystemEventTrigger("before", "shutdown", replicator.shut_down)


def _run_logged(cycle: Callable[[], Any]) -> Deferred[Any]:
    """Run one cycle of a loop; an unexpected exception must not stop the loop."""
    result = maybeDeferred(cycle)
    return result.addErrback(lambda failure: logger.error(failure.getTraceback()))
