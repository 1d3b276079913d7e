"""Quarantines of prompt parts in force or on probation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.crashes._quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wisteriagw.crashes._signature import Signature

FIRST_SECONDS = 60.0
# The length doubles with each renewal up to this one.
MAX_SECONDS = 960.0
# More are not expected at once; the oldest is dropped.
MAX_QUARANTINES = 64


class QuarantineList:
    """Quarantines by their parts.

    Attributes
    ----------
    entries : list of Quarantine
        Quarantines that are not forgotten yet.
    """

    def __init__(self) -> None:
        self.entries: list[Quarantine] = []

    def find(self, parts: Collection[str], now: float) -> Quarantine | None:
        """Return the quarantine in force for a prompt, or None."""
        for entry in self.entries:
            if now < entry.until and entry.parts.issubset(parts):
                return entry
        return None

    def apply_signatures(
        self, signatures: Iterable[Signature], now: float
    ) -> list[Quarantine]:
        """Begin the quarantines of signatures; return those that are new or changed."""
        changed = []
        for signature in signatures:
            known = self._find_exact(signature.parts)
            replaced = self._pop_explained(signature)
            if known is not None:
                crashes = known.crashes | signature.crashes
                self._replace(known, known._replace(crashes=crashes))
                continue
            entry = Quarantine(*signature, now, FIRST_SECONDS)
            if replaced:
                began_at, seconds = replaced[0].began_at, replaced[0].seconds
                entry = entry._replace(began_at=began_at, seconds=seconds)
            self._add(entry)
            changed.append(entry)
        return changed

    def apply_crash(
        self, crash: str, parts: Collection[str], now: float
    ) -> list[Quarantine]:
        """Renew ended quarantines whose parts were open at a crash; return them."""
        renewed = []
        for entry in self.entries:
            if now < entry.until or crash in entry.crashes:
                continue
            if entry.parts.issubset(parts):
                renewed.append(entry)
        return [self._renew(entry, crash, now) for entry in renewed]

    def apply_sound_answer(self, part: str, at: float) -> list[Quarantine]:
        """Take a part out of the quarantines; return those that have ended by it."""
        ended = []
        for entry in list(self.entries):
            if part not in entry.parts or at <= entry.first_at:
                continue
            rest = entry.parts - {part}
            if rest:
                self._replace(entry, entry._replace(parts=rest))
                continue
            self.entries.remove(entry)
            ended.append(entry)
        return ended

    def adopt(self, offered: Quarantine, now: float) -> bool:
        """Take over the quarantine of a peer unless one covers it; return if so."""
        if offered.until <= now or self.find(offered.parts, now) is not None:
            return False
        for entry in list(self.entries):
            if offered.parts <= entry.parts:
                self.entries.remove(entry)
        self._add(offered)
        return True

    def list_active(self, now: float) -> list[Quarantine]:
        """Return the quarantines in force."""
        return [entry for entry in self.entries if now < entry.until]

    def expire(self, now: float) -> None:
        """Forget quarantines whose probation has ended."""
        self.entries = [entry for entry in self.entries if now < entry.forgotten_at]

    def _find_exact(self, parts: frozenset[str]) -> Quarantine | None:
        for entry in self.entries:
            if entry.parts == parts:
                return entry
        return None

    def _pop_explained(self, signature: Signature) -> list[Quarantine]:
        """Remove quarantines of other parts whose crashes a signature explains."""
        explained = [
            entry
            for entry in self.entries
            if entry.parts != signature.parts
            and entry.crashes
            and entry.crashes <= signature.crashes
        ]
        for entry in explained:
            self.entries.remove(entry)
        return explained

    def _renew(self, entry: Quarantine, crash: str, now: float) -> Quarantine:
        renewed = entry._replace(
            crashes=entry.crashes | {crash},
            began_at=now,
            seconds=min(MAX_SECONDS, 2 * entry.seconds),
        )
        self._replace(entry, renewed)
        return renewed

    def _replace(self, entry: Quarantine, changed: Quarantine) -> None:
        self.entries[self.entries.index(entry)] = changed

    def _add(self, entry: Quarantine) -> None:
        self.entries.append(entry)
        if len(self.entries) > MAX_QUARANTINES:
            del self.entries[0]
