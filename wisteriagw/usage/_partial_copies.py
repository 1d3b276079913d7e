"""Copies of other entry processes' partials."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.usage._usage_partial import UsagePartial

# An hour of one partial every 0.5 s from four peers.
MAX_COPIES = 28_800


class PartialCopies:
    """Partials stored for peers until they are in the log."""

    def __init__(self) -> None:
        self._copies: dict[tuple[str, str], dict[int, UsagePartial]] = {}
        self._count = 0

    def store(self, partial: UsagePartial) -> bool:
        """Store a copy; False if full, so that the origin tries another VM."""
        copies = self._copies.setdefault((partial.vm, partial.incarnation), {})
        if partial.seq in copies:
            return True
        if self._count >= MAX_COPIES:
            return False
        copies[partial.seq] = partial
        self._count += 1
        return True

    def discard(self, vm: str, incarnation: str, seqs: list[int]) -> None:
        """Remove copies that are in the log."""
        copies = self._copies.get((vm, incarnation), {})
        for seq in seqs:
            if copies.pop(seq, None) is not None:
                self._count -= 1
        if not copies:
            self._copies.pop((vm, incarnation), None)

    def discard_below(self, vm: str, incarnation: str, seq: int) -> None:
        """Remove the copies of one process whose number is below ``seq``."""
        copies = self._copies.get((vm, incarnation), {})
        self.discard(vm, incarnation, [stored for stored in copies if stored < seq])

    def list_processes(self) -> list[tuple[str, str]]:
        """Return the VM and incarnation of every process with copies here."""
        return list(self._copies)

    def list_process_partials(self, vm: str, incarnation: str) -> list[UsagePartial]:
        """Return the copies of one process, oldest first."""
        copies = self._copies.get((vm, incarnation), {})
        return [copies[seq] for seq in sorted(copies)]

    def list_partials(self, vm: str) -> list[UsagePartial]:
        """Return the copies of a VM, oldest first, of all its incarnations."""
        partials = []
        for (origin, _), copies in self._copies.items():
            if origin != vm:
                continue
            partials.extend(copies[seq] for seq in sorted(copies))
        return partials
