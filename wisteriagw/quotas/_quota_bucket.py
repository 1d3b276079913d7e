"""Token bucket of a customer that represents all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.quotas._decaying_sum import DecayingSum
from wisteriagw.quotas._decision import decide_quota, is_restricted
from wisteriagw.quotas._other_vms import OtherVms
from wisteriagw.quotas._quota_tolerance import QuotaTolerance
from wisteriagw.quotas._quota_view import QuotaView
from wisteriagw.quotas._recent_peak import RecentPeak

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.quotas._customer_quota import CustomerQuota
    from wisteriagw.quotas._quota_decision import QuotaDecision

# Time constants of the reported sums. The first is part of the reporting delay; the
# second has to bridge the gaps between the requests that one VM receives.
ADMITTED_SECONDS = 0.5
DEMAND_SECONDS = 1.0
# Rows are reported for this long after the last request; what is left of a sum then is
# below 1% of it.
ACTIVE_SECONDS = 5.0
# A burst of 0 would admit nothing, so the bucket holds at least the tokens of this
# time.
MIN_BURST_SECONDS = 0.1
# Debt of up to this many seconds of a reduced rate is kept while VMs apply a reduction.
# What was admitted before it is binding must not be repaid at the new rate.
REDUCED_DEBT_SECONDS = 1.0
# Time in which VMs apply a reduction (up to 4 s on the deployments) and report requests
# that they had admitted before (about 1 s).
REDUCTION_SECONDS = 5.0
# The demand counts with its peak of this time, because bursts that recur within a
# window would each exceed the quota until they are reported. The windows of the
# deployments last 8 s.
PEAK_SECONDS = 8.0
# Restricted VMs use up what is left in the bucket within three reporting delays. Within
# one delay the admitted rate oscillated, and a simulation of 65 VMs in three groups
# exceeded the bound by 1%.
LEVEL_REPORTS = 3.0
NEVER = float("-inf")
NO_OTHERS = OtherVms()


class QuotaBucket:
    """Level of a customer's quota, as far as this VM knows it.

    Parameters
    ----------
    quota : CustomerQuota
        Quota in force.
    now : float
        Time in seconds.
    fraction : float
        Fraction of the quota that the VMs in reach may use, 0 until it is known.
    draw : callable
        Returns a random number between 0 and 1.

    Attributes
    ----------
    others : OtherVms
        Use of the quota by the other VMs.
    fraction : float
        Fraction of the quota that the VMs in reach may use.
    report_seconds : float
        Time after which an admitted request is reported to all VMs.
    """

    def __init__(
        self,
        quota: CustomerQuota,
        now: float,
        fraction: float,
        draw: Callable[[], float],
    ) -> None:
        self.others = OtherVms()
        self.fraction = fraction
        self.report_seconds = ADMITTED_SECONDS
        self._quota = quota
        self._tolerance = QuotaTolerance()
        self._draw = draw
        self._at = now
        # What the other VMs have admitted before is not known, so the bucket begins
        # with the tokens of a moment.
        self._level = MIN_BURST_SECONDS * self._rate
        self._part_level = 0.0
        self._restricted = False
        self._last_cost = 0.0
        self._reduced_until = NEVER
        self._active_until = NEVER
        self._admitted = DecayingSum(ADMITTED_SECONDS)
        self._peak = RecentPeak(PEAK_SECONDS)
        self._others_peak = RecentPeak(PEAK_SECONDS)
        self._demand = DecayingSum(DEMAND_SECONDS)

    def set_terms(
        self, quota: CustomerQuota, tolerance: QuotaTolerance, now: float
    ) -> None:
        """Apply a quota that may have changed; the level goes on from where it is."""
        self._tolerance = tolerance
        if quota == self._quota:
            return
        self._advance(now)
        if quota.rate < self._quota.rate:
            self._reduced_until = now + REDUCTION_SECONDS
        self._quota = quota
        self._level = min(self._level, self._capacity)

    def update(
        self, others: OtherVms, fraction: float, report_seconds: float, now: float
    ) -> None:
        """Count the others at their latest rate from now on.

        Parameters
        ----------
        others : OtherVms
            Use of the quota by the other VMs.
        fraction : float
            Fraction of the quota that the VMs in reach may use.
        report_seconds : float
            Time that reports take, without their averaging.
        now : float
            Time in seconds.
        """
        self._advance(now)
        if fraction < self.fraction:
            # Each group of VMs that lost the others goes on with its part of the level.
            self._level *= fraction / self.fraction
        self.others = others
        self.fraction = fraction
        self.report_seconds = report_seconds + ADMITTED_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether the bucket is full and no VM has requests of the customer."""
        return (
            now >= self._active_until
            and self.others == NO_OTHERS
            and not self._restricted
            and self._level >= self._capacity
        )

    def request(self, cost: float, now: float) -> QuotaDecision:
        """Decide on a request and count it."""
        self._demand.add(cost, now)
        self._active_until = now + ACTIVE_SECONDS
        self._last_cost = cost
        self._advance(now)
        decision = decide_quota(self.get_view(now))
        if decision.admitted:
            self._count(cost, now)
        return decision

    def refund(self, cost: float, now: float) -> None:
        """Return the tokens of an admitted request that does not run."""
        self._active_until = now + ACTIVE_SECONDS
        self._advance(now)
        self._count(-cost, now)

    def get_row(self, now: float) -> tuple[float, float] | None:
        """Return the sums that are reported, or None if there are none."""
        if now >= self._active_until:
            return None
        return self._admitted.get(now), self._demand.get(now)

    def get_view(self, now: float) -> QuotaView:
        """Return the state at a time up to which the bucket was advanced."""
        demand = self._demand.get_rate(now)
        total = demand + max(0.0, self.others.demand)
        part = demand / total if total > 0 else 0.0
        rate = self._rate + max(0.0, self._level) / (
            LEVEL_REPORTS * self.report_seconds
        )
        return QuotaView(
            self._level,
            self._rate,
            total,
            self._peak.get(now),
            self._others_peak.get(now),
            self._part_level,
            part * rate,
            self._restricted,
        )

    @property
    def _rate(self) -> float:
        return self.fraction * self._quota.rate

    @property
    def _capacity(self) -> float:
        burst = max(self._quota.burst, MIN_BURST_SECONDS * self._quota.rate)
        return self.fraction * burst

    def _count(self, cost: float, now: float) -> None:
        self._admitted.add(cost, now)
        self._level = min(self._level - cost, self._capacity)
        self._part_level -= cost

    def _advance(self, now: float) -> None:
        elapsed, self._at = now - self._at, now
        self._record_demand(now)
        view = self.get_view(now)
        # Parts that filled while the bucket is in debt would all be spent at the moment
        # when it is positive again.
        if view.restricted and view.level > 0:
            part_level = self._part_level + elapsed * view.part_rate
            self._part_level = min(part_level, self._capacity)
        # The others' latest rate may be that of a burst. After a pause of this process
        # they count at most at the rate of the quota for the rest of the pause.
        admitted = self.others.admitted
        reported = min(elapsed, self.report_seconds)
        drained = reported * admitted
        drained += (elapsed - reported) * min(admitted, self._rate)
        level = self._level + elapsed * self._rate - drained
        if now < self._reduced_until:
            level = max(level, -REDUCED_DEBT_SECONDS * self._rate)
        self._level = min(level, self._capacity)
        excess = self.fraction * self._tolerance.find_excess(self._quota)
        restricted = is_restricted(
            view._replace(level=self._level), self.report_seconds, excess
        )
        if restricted and not self._restricted:
            # Each VM starts at another debt below the cost of a request, as after
            # earlier requests; otherwise all VMs would admit one at this moment.
            self._part_level = -self._draw() * self._last_cost
        self._restricted = restricted

    def _record_demand(self, now: float) -> None:
        # The shorter average of what is admitted shows a burst earlier.
        others = max(self.others.demand, self.others.admitted)
        own = max(self._demand.get_rate(now), self._admitted.get_rate(now))
        self._others_peak.record(others, now)
        self._peak.record(others + own, now)
