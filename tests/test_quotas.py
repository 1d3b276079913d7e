"""Quotas of customers over all VMs."""

from __future__ import annotations

import json

import pytest

from tests.support._gateway_fixture import TABLE, GatewayFixture
from tests.support._quota_fleet import QUOTA, QuotaFleet, find_bound
from wisteriagw.findings import Finding
from wisteriagw.platform import decode_configuration
from wisteriagw.quotas import (
    CustomerQuota,
    OtherVms,
    QuotaBucket,
    QuotaTolerance,
    find_fraction,
)
from wisteriagw.ratelimits import VmCounts
from wisteriagw.routes import Customer

VMS = 65
SMALL = CustomerQuota(100.0, 200.0)


def build_bucket(quota: CustomerQuota = SMALL, draw: float = 0.5) -> QuotaBucket:
    bucket = QuotaBucket(quota, 0.0, 1.0, lambda: draw)
    bucket.update(OtherVms(), 1.0, 0.5, 10.0)
    return bucket


class TestQuotaBucket:
    """The level counts own requests at once and the others' over time."""

    def test_pause_of_the_process_does_not_prolong_a_burst_of_the_others(self) -> None:
        # The debt of a minute at the others' last rate refused requests for minutes.
        bucket = build_bucket()
        bucket.update(OtherVms(300.0, 300.0), 1.0, 0.5, 10.0)
        bucket.request(1.0, 70.0)
        bucket.update(OtherVms(), 1.0, 0.5, 70.1)
        # The burst is still among the recent peaks, so this VM may only use its part.
        assert bucket.request(1.0, 72.0).reason != "spent"

    def test_request_larger_than_the_burst_runs_and_its_debt_is_repaid(self) -> None:
        bucket = build_bucket()
        assert bucket.request(500.0, 10.0).admitted
        refused = bucket.request(1.0, 10.0)
        assert (refused.admitted, refused.retry_after) == (False, pytest.approx(3.0))
        assert not bucket.request(1.0, 12.9).admitted
        assert bucket.request(1.0, 13.1).admitted

    def test_integral_of_the_others_rate_is_what_they_admitted(self) -> None:
        reporting, reading = build_bucket(), build_bucket(CustomerQuota(1e-9, 1e4))
        before = reading.get_view(10.0).level
        assert reporting.request(150.0, 10.0).admitted
        for step in range(101):
            now = 10.0 + step * 0.05
            admitted, _ = reporting.get_row(now) or (0.0, 0.0)
            # The rate of the middle of the step, for the integral to be exact.
            others = OtherVms(admitted / 0.5 * 0.9512, 0.0)
            reading.update(others, 1.0, 0.5, now)
        reading.update(OtherVms(), 1.0, 0.5, now + 0.05)
        spent = before - reading.get_view(now).level
        assert spent == pytest.approx(150.0, rel=0.01)

    def test_refund_restores_the_level_and_the_report(self) -> None:
        bucket = build_bucket()
        assert bucket.request(150.0, 10.0).admitted
        bucket.refund(150.0, 10.0)
        assert bucket.get_view(10.0).level == 200.0
        assert bucket.get_row(10.0) == (0.0, 150.0)

    def test_debt_of_a_higher_rate_is_not_repaid_at_a_lower_one(self) -> None:
        bucket = build_bucket()
        bucket.request(1_000.0, 10.0)
        bucket.set_terms(CustomerQuota(10.0, 20.0), QuotaTolerance(), 10.0)
        assert bucket.request(1.0, 10.0).retry_after == pytest.approx(1.0)

    def test_group_of_vms_goes_on_with_its_part_of_the_level(self) -> None:
        bucket = build_bucket()
        bucket.request(100.0, 10.0)
        bucket.update(OtherVms(), 0.25, 0.5, 10.0)
        assert bucket.get_view(10.0).level == 25.0

    def test_vms_stay_restricted_for_a_window_after_a_burst(self) -> None:
        bucket = build_bucket()
        restricted = []
        for now in (10.0, 10.1, 10.2, 14.0, 20.0):
            demand = 5_000.0 if now < 10.2 else 0.0
            bucket.update(OtherVms(0.0, demand), 1.0, 0.5, now)
            restricted.append(bucket.get_view(now).restricted)
        assert restricted == [False, True, True, True, False]

    def test_idle_customer_is_not_reported(self) -> None:
        bucket = build_bucket()
        bucket.request(1.0, 10.0)
        assert bucket.get_row(14.9) is not None
        assert bucket.get_row(15.1) is None


class TestFraction:
    """Groups of VMs that do not reach each other share the quota."""

    def test_groups_stay_within_the_accepted_excess(self) -> None:
        groups = [find_fraction(VmCounts(n, 60), 0.1) for n in (1, 20, 39)]
        assert 1.0 <= sum(groups) <= 1.1

    def test_nothing_is_admitted_until_the_vms_are_known(self) -> None:
        assert find_fraction(VmCounts(1, 0), 0.1) == 0.0


class TestFleetWithinQuota:
    """A customer within its quota is refused next to nothing."""

    @pytest.mark.parametrize("load", [0.5, 0.9, 1.0])
    def test_even_load_is_admitted(self, load: float) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(3, 0.3)
        fleet.run(12, load)
        assert fleet.find_refused(3.0) < 0.02

    def test_load_on_one_vm_is_admitted(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(3, 0.3)
        fleet.run(8, 0.56, lambda random: 0)
        assert fleet.find_refused(3.0) < 0.02

    def test_burst_is_admitted(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(4, 0.56)
        fleet.run(0.5, 2.0)
        fleet.run(3, 0.4)
        assert fleet.find_refused(3.0) < 0.02

    def test_load_goes_on_when_vms_are_killed(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(4, 0.56)
        fleet.down = set(range(16))
        fleet.run(8, 0.7)
        assert fleet.find_refused(4.0) < 0.03


class TestFleetAboveQuota:
    """What runs in any window stays within the bound, and the quota is used."""

    @pytest.mark.parametrize("skewed", [False, True])
    def test_five_times_the_rate(self, skewed: bool) -> None:
        def choose(random) -> int:
            return 0 if skewed and random.random() < 0.5 else random.randrange(VMS)

        fleet = QuotaFleet(VMS)
        fleet.run(2, 0.3)
        fleet.run(14, 5.0, choose)
        assert fleet.find_peak() < find_bound()
        assert fleet.find_rate(6.0) > 0.85 * QUOTA.rate

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_recurring_bursts(self, seed: int) -> None:
        fleet = QuotaFleet(VMS, seed=seed)
        for seconds, load in ((8, 0.56), (3, 5.0), (4, 0.3), (5, 5.0)):
            fleet.run(seconds, load)
        assert fleet.find_peak() < find_bound()

    def test_vms_in_groups_that_do_not_reach_each_other(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(4, 5.0)
        fleet.groups = [vm % 3 for vm in range(VMS)]
        fleet.run(12, 5.0)
        assert fleet.find_peak() < find_bound()

    def test_reduced_quota_is_binding_and_used(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(8, 1.0)
        reduced = CustomerQuota(60_000.0, 60_000.0, True)
        fleet.quotas = [reduced] * VMS
        fleet.run(14, 1.0)
        assert fleet.find_peak(12.0) < find_bound(reduced)
        assert fleet.find_rate(10.0) > 0.8 * reduced.rate

    def test_vms_do_not_admit_at_the_same_moment_after_a_debt(self) -> None:
        fleet = QuotaFleet(VMS)
        fleet.run(6, 5.0)
        since = fleet.now
        fleet.run(6, 5.0)
        worst = 0.0
        rows = [row for row in fleet.offered if row.admitted and row.at >= since]
        for row in rows:
            last = [r for r in rows if row.at - 0.5 < r.at <= row.at]
            worst = max(worst, sum(r.cost for r in last))
        assert worst < 1.5 * QUOTA.rate


class TestGatewayQuota:
    """The gateway refuses with 429 before any attempt."""

    def start(self, quota: CustomerQuota, vms: int = 1) -> GatewayFixture:
        gateway = GatewayFixture()
        customers = {"k1": Customer("t-1", 2, quota)}
        gateway.configuration.table = TABLE._replace(customers=customers)
        gateway.sums.apply_peer_rows("vm-2", (), gateway.clock.seconds())
        gateway.handler.quotas.update([0.0] * vms, vms)
        return gateway

    def test_refusal_names_the_time_of_return(self) -> None:
        gateway = self.start(CustomerQuota(1_000.0, 500.0, True, 300.0))
        gateway.request("safe")
        refused = gateway.request("safe")
        assert refused.status == 429
        assert float(refused.headers[b"retry-after"]) == pytest.approx(0.2)
        assert len(gateway.pool.sent) == 1
        gateway.clock.advance(0.3)
        gateway.request("safe")
        assert len(gateway.pool.sent) == 2

    def test_request_costs_the_tokens_that_it_states(self) -> None:
        gateway = self.start(CustomerQuota(1_000.0, 500.0, True, 300.0))
        gateway.request("ask", prompt="1300,800", parts="")
        refused = gateway.request("ask")
        assert float(refused.headers[b"retry-after"]) == pytest.approx(2.0)

    def test_idle_customers_cost_no_updates(self, monkeypatch) -> None:
        # With 240 customers the updates took 2% of a core, ten times a second.
        gateway = self.start(CustomerQuota(1_000.0, 500.0, True, 300.0))
        updated: list[float] = []
        update = QuotaBucket.update

        def count(bucket, *arguments) -> None:
            updated.append(gateway.clock.seconds())
            update(bucket, *arguments)

        monkeypatch.setattr(QuotaBucket, "update", count)
        gateway.request("safe")
        for _ in range(100):
            gateway.clock.advance(0.1)
            now = gateway.clock.seconds()
            gateway.sums.apply_peer_rows("vm-2", (), now)
            gateway.handler.quotas.update([0.0], 1)
        assert 1_004.0 < updated[-1] < 1_006.0
        gateway.confirm()
        assert gateway.request("safe").status != 429
        # Half of the VMs are out of reach, and so is half of the quota.
        gateway.clock.advance(20.0)
        gateway.handler.quotas.update([0.0], 2)
        assert updated[-1] == gateway.clock.seconds()

    def test_request_without_a_server_returns_its_tokens(self) -> None:
        gateway = self.start(CustomerQuota(1.0, 1.0))
        gateway.fleet.fleet.servers.clear()
        assert [gateway.request("safe").status for _ in range(3)] == [503] * 3
        assert dict(gateway.sums.get_others("quotas", 0.0)) == {}

    def test_request_that_may_have_run_keeps_its_tokens(self) -> None:
        gateway = self.start(CustomerQuota(1.0, 1.0))
        gateway.request("unsafe")
        gateway.clock.advance(0.01)
        gateway.pool.sent[0].reply(500)
        assert gateway.request("unsafe").status == 429

    def test_others_requests_count_and_go_on_when_reports_stop(self) -> None:
        gateway = self.start(CustomerQuota(100.0, 100.0), vms=2)
        row = ("quotas", "t-1", 100.0, 200.0)
        for seconds in (0.0, 0.5, 0.5, 1.5, 3.5):
            if seconds <= 0.5:
                now = gateway.clock.seconds()
                gateway.sums.apply_peer_rows("vm-2", (row,), now)
            gateway.handler.quotas.update([0.0] * 2, 2)
            gateway.clock.advance(seconds)
        gateway.confirm()
        assert gateway.request("safe").status == 429

    def test_vm_without_reports_uses_its_equal_share(self) -> None:
        gateway = GatewayFixture()
        customers = {"k1": Customer("t-1", 2, CustomerQuota(100.0, 100.0))}
        gateway.configuration.table = TABLE._replace(customers=customers)
        gateway.handler.quotas.update([0.0] * 10, 10)
        sent = 0
        for _ in range(100):
            gateway.clock.advance(0.02)
            gateway.request("unsafe")
            sent = len(gateway.pool.sent)
        assert 18 <= sent <= 35

    def test_rows_are_published_for_active_customers(self) -> None:
        gateway = self.start(CustomerQuota(100.0, 100.0))
        now = gateway.clock.seconds()
        assert gateway.sums.list_own(now) == ()
        gateway.request("safe")
        assert gateway.sums.list_own(now) == (("quotas", "t-1", 1.0, 1.0),)


class TestDecoding:
    """The operator's fields become a quota; invalid ones change nothing."""

    def decode(self, **fields):
        row = {"name": "t-1", "api_keys": ["k1"], **fields}
        data = {"version": 1, "routes": [], "services": [], "tenants": [row]}
        return decode_configuration(json.dumps(data).encode())

    def test_fields_of_a_quota(self) -> None:
        table = self.decode(rate_per_s=5, burst=9, unit="tokens", uncached_tokens=700)
        assert table.customers["k1"].quota == CustomerQuota(5.0, 9.0, True, 700.0)

    @pytest.mark.parametrize("fields", [{}, {"rate_per_s": 0, "burst": 5}])
    def test_no_rate_is_no_limit(self, fields: dict) -> None:
        assert self.decode(**fields).customers["k1"] == Customer("t-1")

    @pytest.mark.parametrize("rate", [-1, "x", [1]])
    def test_invalid_rate_is_a_finding(self, rate) -> None:
        assert isinstance(self.decode(rate_per_s=rate), Finding)
