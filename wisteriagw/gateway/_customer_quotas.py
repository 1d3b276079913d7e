"""Quotas of customers on this VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.gateway._quota_charge import QuotaCharge
from wisteriagw.quotas import (
    ADMITTED_SECONDS,
    DEMAND_SECONDS,
    OtherVms,
    QuotaBucket,
    QuotaTolerance,
    find_cost,
    find_fraction,
)
from wisteriagw.ratelimits import VmCounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.platform import CallerRequest
    from wisteriagw.quotas import CustomerQuota, QuotaDecision
    from wisteriagw.routes import Customer, RoutingTable

TABLE = "quotas"
UPDATE_INTERVAL_SECONDS = 0.1
# A report takes three hops, and peers' rows are valid for five update intervals.
REPORT_PART_OF_VALIDITY = 0.6
# VMs are seen through three hops and a list that is sent less often than updates. At
# the validity of rows itself, a fifth of the VMs that were well seemed out of reach now
# and then, which cost customers a part of their quota.
REACH_PART_OF_VALIDITY = 1.2
FREE = QuotaCharge(True)


class CustomerQuotas:
    """Checks requests against the quotas of their customers.

    Every VM keeps a bucket of each customer with a quota, which represents all VMs.
    """

    def __init__(self, context: GatewayContext) -> None:
        settings = context.settings
        self._context = context
        self._tolerance = QuotaTolerance(
            settings.quota_window, settings.quota_over, settings.quota_slack
        )
        self._table: RoutingTable | None = None
        self._quotas: dict[str, CustomerQuota] = {}
        self._buckets: dict[str, QuotaBucket] = {}
        self._fraction = 0.0
        context.sums.register(TABLE, self._list_rows)

    def charge(self, customer: Customer | None, caller: CallerRequest) -> QuotaCharge:
        """Take the tokens of a request from its customer's quota, or refuse it."""
        if customer is None or customer.quota is None:
            return FREE
        now = self._context.reactor.seconds()
        cost = find_cost(customer.quota, caller.tokens)
        bucket = self._find_bucket(customer.name, customer.quota, now)
        decision = bucket.request(cost, now)
        if not decision.admitted:
            self._record_refusal(customer.name, caller, cost, decision)
        return QuotaCharge(decision.admitted, customer.name, cost, decision.retry_after)

    def refund(self, charge: QuotaCharge) -> None:
        """Return the tokens of a request that does not run."""
        bucket = self._buckets.get(charge.customer)
        if bucket is not None:
            bucket.refund(charge.cost, self._context.reactor.seconds())

    def update(self, ages: list[float], registered: int) -> None:
        """Apply the configuration and the reports of the other VMs.

        Parameters
        ----------
        ages : list of float
            Seconds since each VM was last seen, this one included.
        registered : int
            VMs that are registered; 0 if they are not known.
        """
        context = self._context
        self._apply_table()
        now = context.reactor.seconds()
        age = context.sums.get_age(now)
        valid_seconds = context.sums.valid_seconds
        # Rows of VMs out of reach lapse before the directory leaves the VMs out. Until
        # then each group of VMs would use the whole of every quota.
        reach_seconds = REACH_PART_OF_VALIDITY * valid_seconds
        alive = sum(seen < reach_seconds for seen in ages)
        if math.isinf(age):
            # Without any report this VM may use no more than its equal share.
            alive = 1
        vms = VmCounts(alive, registered)
        self._fraction = find_fraction(vms, self._tolerance.over)
        if not self._quotas:
            return
        # The others go on at their last rate until they no longer count as alive.
        stale = valid_seconds <= age < math.inf and alive > 1
        rows = {} if stale else context.sums.get_others(TABLE, now)
        report_seconds = REPORT_PART_OF_VALIDITY * valid_seconds
        for name, quota in self._quotas.items():
            bucket = self._find_bucket(name, quota, now)
            if (
                name not in rows
                and bucket.is_idle(now)
                and bucket.fraction == self._fraction
            ):
                # The update would change nothing, and most customers are idle.
                continue
            others = bucket.others if stale else decode_row(rows.get(name, ()))
            bucket.update(others, self._fraction, report_seconds, now)
            level = bucket.get_view(now).level
            context.metrics.quota_level.labels(name).set(level)

    def _apply_table(self) -> None:
        table = self._context.configuration.table
        if table is self._table:
            return
        self._table = table
        customers = table.customers or {} if table is not None else {}
        self._quotas = {
            customer.name: customer.quota
            for customer in customers.values()
            if customer.quota is not None
        }
        for name in list(self._buckets):
            if name not in self._quotas:
                del self._buckets[name]
                self._context.metrics.quota_level.remove(name)

    def _find_bucket(self, name: str, quota: CustomerQuota, now: float) -> QuotaBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = QuotaBucket(quota, now, self._fraction, self._context.draw)
            self._buckets[name] = bucket
        bucket.set_terms(quota, self._tolerance, now)
        return bucket

    def _list_rows(self, now: float) -> Iterator[tuple[str, tuple[float, float]]]:
        for name, bucket in self._buckets.items():
            row = bucket.get_row(now)
            if row is not None:
                yield name, row

    def _record_refusal(
        self, customer: str, caller: CallerRequest, cost: float, decision: QuotaDecision
    ) -> None:
        context = self._context
        now = context.reactor.seconds()
        bucket = self._buckets[customer]
        view = bucket.get_view(now)
        context.metrics.quota_refusals.labels(customer, decision.reason).inc()
        context.log.write(
            "quota_refusal",
            request_id=caller.request_id,
            customer=customer,
            reason=decision.reason,
            cost=cost,
            level=round(view.level, 1),
            rate=round(view.rate, 1),
            demand=round(view.demand, 1),
            part_level=round(view.part_level, 1),
            restricted=view.restricted,
            fraction=round(bucket.fraction, 3),
            sums_age=round(min(context.sums.get_age(now), 1e6), 3),
            retry_after=round(decision.retry_after, 3),
        )


def decode_row(values: tuple[float, ...]) -> OtherVms:
    """Return the rates in a row of the others' sums, 0 if there is none."""
    if len(values) < 2:
        return OtherVms()
    return OtherVms(values[0] / ADMITTED_SECONDS, values[1] / DEMAND_SECONDS)
