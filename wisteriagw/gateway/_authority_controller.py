"""Claim and renewal of the authority by this process."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.task import deferLater

from wisteriagw.authority import (
    NOBODY,
    AuthorityStep,
    Grant,
    build_claim,
    compute_term_end,
    decide_step,
    revoke_earlier_era,
)
from wisteriagw.eras import EraStart
from wisteriagw.gateway._background import start_background
from wisteriagw.jsondata import load_record
from wisteriagw.platform import (
    AUTHORITY_TOPIC,
    AppendConflictError,
    StoreUnavailableError,
)
from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from wisteriagw.eras import StorePosition
    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

AUTHORITY_KEY = "fleet"
ERA_KEY = "era"
# Fractions of the term from one read to the next. The first challengers detect a holder
# that stopped renewing soon after its term ends; the others are their fallback.
WAIT_FRACTION = 0.35
INTERVAL_FRACTION = 0.35
FALLBACK_INTERVAL_FRACTION = 5.0
FIRST_CHALLENGERS = 2
STEP_INTERVAL_SECONDS = 0.2


class AuthorityController:
    """Follows, claims and renews the authority through the store.

    Attributes
    ----------
    stopping : bool
        Whether the process is shutting down and must not claim or renew.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        vm: str,
        incarnation: str,
        term: float,
        list_vms: Callable[[], list[str]],
        wall_clock: Callable[[], float],
        first_start: bool = True,
    ) -> None:
        self.stopping = False
        self._reactor = reactor
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._term = term
        self._list_vms = list_vms
        self._wall_clock = wall_clock
        self._grant: Grant | None = None
        self._era_start: EraStart | None = None
        self._unchanged_since = reactor.seconds()
        self._term_ends_at = float("-inf")
        self._next: StorePosition | None = None
        self._running: Deferred[None] | None = None
        # A record that is missing later was lost, and its holder may still act.
        self._known_free = first_start
        store.eras.subscribe(self._handle_restore)

    def start(self) -> None:
        """Follow the authority, and claim or renew it, until ``stop``."""
        self._running = start_background(self._run(), "control of the authority")

    def stop(self) -> None:
        """Stop claiming and renewing; a term that is held expires."""
        self.stopping = True
        self._term_ends_at = float("-inf")
        if self._running is not None:
            self._running.cancel()

    def get_fencing_number(self) -> int | None:
        """Return the number for an order sent now, or None if none may be sent."""
        now = self._reactor.seconds()
        if not self._holds() or self.stopping or now >= self._term_ends_at:
            return None
        return self._grant.fencing_number

    def get_era_seen_at(self) -> float:
        """Return the wall-clock time from which the store has lost no record.

        Infinite while that is not known.
        """
        start = self._era_start
        return float("inf") if start is None else start.seen_at

    async def _run(self) -> None:
        behind = True
        while True:
            try:
                started = self._reactor.seconds()
                if behind or not self._holds():
                    await self._read()
                await self._advance()
                behind = False
                await self._pause(started)
            except StoreUnavailableError as error:
                logger.info("store unavailable for the authority: %s", error)
                # The outcome of an append without an answer is found by reading on.
                behind = True
                # Only a holder, or a process whose claim may have been accepted, has a
                # term to lose and retries soon; refused calls cost too.
                if self._holds() or error.may_have_run:
                    await deferLater(self._reactor, STEP_INTERVAL_SECONDS)
                else:
                    await self._pause(started)
            except AppendConflictError:
                logger.info("append conflict: another process changed the authority")
                behind = True

    async def _pause(self, started: float) -> None:
        if self._holds():
            return
        while True:
            # Ranked again after each step, because a first challenger may fail.
            first = rank_names(AUTHORITY_KEY, self._list_vms())[:FIRST_CHALLENGERS]
            fraction = (
                INTERVAL_FRACTION if self._vm in first else FALLBACK_INTERVAL_FRACTION
            )
            left = started + fraction * self._term - self._reactor.seconds()
            if left <= 0:
                return
            await deferLater(self._reactor, min(left, INTERVAL_FRACTION * self._term))

    async def _read(self) -> None:
        if self._next is None:
            page = await self._store.read_newest(AUTHORITY_TOPIC)
        else:
            wait = self._get_wait()
            page = await self._store.read(AUTHORITY_TOPIC, self._next, wait)
        if not page.complete:
            # A holder without a position would neither read nor wait.
            page = await self._store.read_newest(AUTHORITY_TOPIC)
        self._next = page.next_position
        for record in page.records:
            self._apply_record(record)

    def _get_wait(self) -> float:
        return 0.0 if self._holds() else WAIT_FRACTION * self._term

    def _holds(self) -> bool:
        grant = self._grant
        return grant is not None and grant.incarnation == self._incarnation

    def _apply_record(self, record: StoreRecord) -> None:
        if record.key == ERA_KEY:
            self._apply_era_start(record)
        if record.key != AUTHORITY_KEY:
            return
        try:
            grant = decode_grant(record.value)
        except ValueError as error:
            logger.warning(
                "authority record at %s is invalid: %s", record.position, error
            )
            return
        grant = revoke_earlier_era(grant, record.era)
        if grant == self._grant:
            return
        if self._grant and grant.fencing_number < self._grant.fencing_number:
            # A late renewal whose expected offset was given out again.
            logger.warning(
                "authority record at %s is from an earlier era", record.position
            )
            return
        if grant.incarnation == NOBODY:
            logger.info(
                "VM %s held the authority with number %d before the restore",
                grant.vm,
                grant.fencing_number,
            )
        elif self._grant is None or grant.incarnation != self._grant.incarnation:
            self._store.eras.record_settled()
            logger.info(
                "VM %s holds the authority with number %d",
                grant.vm,
                grant.fencing_number,
            )
        self._grant = grant
        self._unchanged_since = self._reactor.seconds()

    def _apply_era_start(self, record: StoreRecord) -> None:
        try:
            start = load_record(EraStart, record.value)
        except ValueError as error:
            logger.warning("start of an era at %s: %s", record.position, error)
            return
        if start.era == record.era:
            self._era_start = start

    async def _advance(self) -> None:
        if self.stopping or self._next is None:
            return
        now = self._reactor.seconds()
        step = decide_step(
            self._grant,
            self._incarnation,
            self._unchanged_since,
            self._term,
            now,
            self._known_free,
        )
        if step is AuthorityStep.WAIT:
            if self._holds():
                await deferLater(self._reactor, STEP_INTERVAL_SECONDS)
            return
        grant = self._build_grant(step)
        records = [(AUTHORITY_KEY, encode(grant))]
        start = self._era_start
        if start is None:
            start = self._build_era_start()
            records.append((ERA_KEY, encode(start)))
        sent_at = self._reactor.seconds()
        position = await self._store.append(AUTHORITY_TOPIC, records, self._next)
        self._next = position._replace(offset=position.offset + len(records))
        self._era_start = start
        if step is AuthorityStep.CLAIM:
            logger.info("holds the authority with number %d", grant.fencing_number)
        self._grant = grant
        self._unchanged_since = sent_at
        self._term_ends_at = compute_term_end(sent_at, self._term)

    def _build_grant(self, step: AuthorityStep) -> Grant:
        if step is AuthorityStep.RENEW:
            return self._grant._replace(renewal=self._grant.renewal + 1)
        return build_claim(self._vm, self._incarnation, self._next, self._grant)

    def _build_era_start(self) -> EraStart:
        eras = self._store.eras
        age = self._reactor.seconds() - eras.seen_at
        return EraStart(int(self._next.era), self._wall_clock() - age)

    def _handle_restore(self) -> None:
        # A claim that was lost may have been followed by others, which are lost too.
        self._grant = self._next = self._era_start = None
        self._known_free = False
        self._term_ends_at = float("-inf")
        self._unchanged_since = self._reactor.seconds()


def encode(value: NamedTuple) -> bytes:
    """Return the record of a value with plain fields."""
    return json.dumps(value._asdict()).encode("utf-8")


def decode_grant(data: bytes) -> Grant:
    """Return the grant in a record; raises ValueError if it holds none."""
    return load_record(Grant, data)
