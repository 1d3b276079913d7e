"""Simulation of VMs that share the quota of a customer, in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.quotas import (
    ADMITTED_SECONDS,
    DEMAND_SECONDS,
    CustomerQuota,
    OtherVms,
    QuotaBucket,
    QuotaTolerance,
    find_fraction,
)
from wisteriagw.ratelimits import VmCounts

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_SECONDS = 0.02
# Interval of the updates of 65 VMs in three data centres, and the time of a row through
# two relays.
UPDATE_SECONDS = 0.2
REPORT_SECONDS = 0.35
# Interval in which a VM applies the reports that it has received.
APPLY_SECONDS = 0.1
# VMs out of reach and their rows no longer count after five intervals.
LAPSE_SECONDS = 1.0
TOLERANCE = QuotaTolerance(8.0, 0.1, 190_000.0)
QUOTA = CustomerQuota(300_000.0, 300_000.0, True)
# Sizes from short questions to the longest prompts; the mean is 7,500 tokens.
SIZES = (400, 1_000, 2_000, 4_000, 8_000, 15_000, 30_000)
WEIGHTS = (4, 4, 4, 4, 4, 2, 2)


class Offered(NamedTuple):
    """A request, at a time from the start of the simulation."""

    at: float
    cost: float
    admitted: bool
    vm: int


class QuotaFleet:
    """VMs with a bucket each, whose rows arrive with a delay.

    Attributes
    ----------
    groups : list of int
        Group of each VM; VMs of different groups do not reach each other.
    down : set of int
        VMs that have ended.
    quotas : list of CustomerQuota
        Quota in force on each VM.
    """

    def __init__(self, vms: int, quota: CustomerQuota = QUOTA, seed: int = 1) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.groups = [0] * vms
        self.down: set[int] = set()
        self.quotas = [quota] * vms
        self.offered: list[Offered] = []
        self.buckets = [
            QuotaBucket(quota, 0.0, 1 / vms, self.random.random) for _ in range(vms)
        ]
        self._rows: list[list] = [[] for _ in range(vms)]
        self._seen = [[0.0] * vms for _ in range(vms)]
        self._due = [self.random.random() * UPDATE_SECONDS for _ in range(vms)]
        self._apply_due = [due / 2 for due in self._due]

    def run(
        self,
        seconds: float,
        load: float,
        choose: Callable[[random.Random], int] | None = None,
    ) -> None:
        """Send requests at a multiple of 300,000 tokens/s for some seconds.

        Parameters
        ----------
        seconds, load : float
            Duration, and demand as a multiple of the rate of ``QUOTA``.
        choose : callable or None
            Draws the VM of a request; None for all alike.
        """
        mean = sum(s * w for s, w in zip(SIZES, WEIGHTS, strict=True)) / sum(WEIGHTS)
        end = self.now + seconds
        rate = load * QUOTA.rate / mean
        next_at = self.now + self.random.expovariate(rate)
        while self.now < end:
            self.now += STEP_SECONDS
            self._exchange()
            while next_at <= self.now:
                next_at += self.random.expovariate(rate)
                vm = choose(self.random) if choose else self._draw_vm()
                if vm in self.down:
                    continue
                cost = self.random.choices(SIZES, WEIGHTS)[0]
                admitted = self.buckets[vm].request(cost, self.now).admitted
                self.offered.append(Offered(self.now, cost, admitted, vm))

    def find_refused(self, since: float = 0.0) -> float:
        """Return the refused fraction of the tokens."""
        rows = [row for row in self.offered if row.at >= since]
        return 1 - sum(r.cost for r in rows if r.admitted) / sum(r.cost for r in rows)

    def find_rate(self, since: float) -> float:
        """Return the admitted tokens per second since a time."""
        rows = [row for row in self.offered if row.at >= since and row.admitted]
        return sum(row.cost for row in rows) / (self.now - since)

    def find_peak(self, since: float = 0.0) -> float:
        """Return the largest number of tokens that ran in a window."""
        rows = [row for row in self.offered if row.admitted and row.at >= since]
        peak = total = 0.0
        first = 0
        for row in rows:
            total += row.cost
            while rows[first].at <= row.at - TOLERANCE.window:
                total -= rows[first].cost
                first += 1
            peak = max(peak, total)
        return peak

    def _draw_vm(self) -> int:
        return self.random.randrange(len(self.buckets))

    def _exchange(self) -> None:
        for vm, bucket in enumerate(self.buckets):
            if vm in self.down:
                continue
            if self.now >= self._apply_due[vm]:
                self._apply_due[vm] += APPLY_SECONDS
                bucket.set_terms(self.quotas[vm], TOLERANCE, self.now)
                self._receive(vm)
            if self.now < self._due[vm]:
                continue
            self._due[vm] += UPDATE_SECONDS
            row = bucket.get_row(self.now) or (0.0, 0.0)
            self._rows[vm].append((self.now, *row))

    def _receive(self, vm: int) -> None:
        admitted = demand = 0.0
        alive = 1
        for other, rows in enumerate(self._rows):
            if other == vm:
                continue
            if self.groups[other] == self.groups[vm]:
                self._seen[vm][other] = self.now - REPORT_SECONDS
            known_until = self._seen[vm][other]
            newest = next((r for r in reversed(rows) if r[0] <= known_until), None)
            if newest is None:
                continue
            age = self.now - REPORT_SECONDS - newest[0]
            if age < LAPSE_SECONDS:
                alive += 1
                admitted += newest[1]
                demand += newest[2]
        others = OtherVms(admitted / ADMITTED_SECONDS, demand / DEMAND_SECONDS)
        fraction = find_fraction(VmCounts(alive, len(self.buckets)), TOLERANCE.over)
        self.buckets[vm].update(others, fraction, 3 * UPDATE_SECONDS, self.now)


def find_bound(quota: CustomerQuota = QUOTA) -> float:
    """Return the tokens that may run in a window."""
    return quota.rate * TOLERANCE.window + quota.burst + TOLERANCE.find_excess(quota)
