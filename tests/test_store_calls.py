"""Tests of the calls to the store that relays make for their data centre."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.support._gateway_fixture import SETTINGS
from tests.support._store_fleet import StoreFleet
from wisteriagw.gateway._served_usage import ServedUsage
from wisteriagw.gateway._served_window import ServedWindow
from wisteriagw.messages import FleetUpdate, GatewayUpdate
from wisteriagw.platform import USAGE_TOPIC

APPEND = (USAGE_TOPIC, "append")
SIZES = {"north": 5, "south": 3}
SETTLE_SECONDS = 11.0
# Time after which the report of a window has been sent, late ones included.
REPORT_SECONDS = 15.5
# The same if no VM has been lost, so that windows are sealed once they are complete.
COMPLETE_SECONDS = 9.5
# Requests of a process that is killed are known to its relays after this time.
COPIED_SECONDS = 1.5


def start(sizes: dict[str, int]) -> StoreFleet:
    """Return VMs whose relays write the usage."""
    fleet = StoreFleet(sizes)
    fleet.advance(SETTLE_SECONDS)
    return fleet


def check_reports(fleet: StoreFleet, *windows: int) -> None:
    """Check that the reported figures are the requests that ran."""
    assert windows
    for window in windows:
        assert fleet.reports.get(window) == fleet.truth[window], window


class TestStoreCallsOfManyVms:
    """The number of appends for usage must not grow with the VMs."""

    def test_calls_of_sixty_vms(self) -> None:
        fleet = start({"north": 20, "south": 20, "west": 20})
        fleet.calls.clear()
        fleet.advance(30.0)
        # Six windows: one append of a relay in each data centre, and the seal.
        assert fleet.calls[APPEND] <= 6 * (3 + 1) + 4
        last = int(fleet.clock.seconds() // SETTINGS.usage_window) - 2
        check_reports(fleet, *range(last - 4, last))
        fleet.calls.clear()
        fleet.server.down = True
        fleet.advance(5.0)
        fleet.server.down = False
        fleet.advance(REPORT_SECONDS)
        # Refused appends of each VM and relay with back-off, as without relays.
        assert fleet.calls[APPEND] <= 60 * 5
        check_reports(fleet, last, last + 1, last + 2)

    def test_few_vms_write_by_themselves(self) -> None:
        fleet = start({"north": 2, "south": 1})
        fleet.advance_to_window(0.2)
        fleet.calls.clear()
        fleet.advance(0.5)
        assert fleet.calls[APPEND] == 3
        for gateway in fleet.gateways.values():
            for _, message in gateway.mesh.sent:
                closed = getattr(message, "closed_window", -1)
                assert closed == -1


class TestUsageThroughRelays:
    """Bills must be complete and never too high, whatever fails midway."""

    def prepare(self) -> tuple[StoreFleet, str, int]:
        """Return VMs, the relay that writes for north, and the window to come."""
        fleet = start(SIZES)
        relay = fleet.find_first_relay("north")
        window = fleet.advance_to_window(SETTINGS.usage_window - COPIED_SECONDS)
        return fleet, relay, window

    def finish(
        self, fleet: StoreFleet, window: int, seconds: float = COMPLETE_SECONDS
    ) -> None:
        fleet.advance(seconds)
        check_reports(fleet, window - 1, window, window + 1)

    @pytest.mark.parametrize("after", [0.1, 0.35, 0.5])
    def test_relay_dies_before_the_append(self, after: float) -> None:
        fleet, relay, window = self.prepare()
        fleet.idle.add(relay)
        fleet.advance(COPIED_SECONDS + after)
        fleet.kill(relay)
        self.finish(fleet, window, REPORT_SECONDS)

    def test_relay_dies_between_the_append_and_the_confirmation(self) -> None:
        fleet, relay, window = self.prepare()
        fleet.idle.add(relay)
        fleet.advance(COPIED_SECONDS)
        killed = []

        def kill(topic: str) -> None:
            if topic == USAGE_TOPIC and not killed:
                killed.append(fleet.clock.seconds())
                fleet.kill(relay)

        fleet.vms[relay].calls.on_appended = kill
        self.finish(fleet, window, REPORT_SECONDS)
        assert killed

    @pytest.mark.parametrize("lost", [1, 1_000])
    def test_confirmation_is_lost(self, lost: int) -> None:
        fleet, _, window = self.prepare()
        dropped: Counter = Counter()

        def drops(sender: str, receiver: str, message) -> bool:
            if not isinstance(message, FleetUpdate) or not message.usage_stored:
                return False
            dropped[receiver] += 1
            return dropped[receiver] <= lost

        fleet.drops = drops
        fleet.advance(COPIED_SECONDS)
        for vm in fleet.vms.values():
            vm.calls.sent.clear()
        fleet.advance(4.0)
        own = sum(vm.calls.sent[APPEND] > 0 for vm in fleet.vms.values())
        # A VM without any confirmation writes by itself; one is sent again if lost.
        assert (own == sum(SIZES.values())) == (lost > 1)
        self.finish(fleet, window)

    def test_relay_without_a_store_is_replaced_by_the_vms(self) -> None:
        fleet, relay, window = self.prepare()
        fleet.vms[relay].calls.silent = True
        fleet.idle.add(relay)
        self.finish(fleet, window, REPORT_SECONDS)

    def test_counts_that_change_after_the_copy_are_written_again(self) -> None:
        fleet, relay, window = self.prepare()
        # The holder's copies of its own data centre would hide the loss.
        holder = next(
            name
            for name, vm in fleet.vms.items()
            if vm.authority.get_fencing_number() is not None
        )
        vm = next(
            name
            for name, gateway in fleet.gateways.items()
            if name[:5] != holder[:5] and not gateway.exchange.peers.is_relay
        )
        fleet.advance(COPIED_SECONDS + 0.75)
        # The wall clock of the VM is set back across the end of the window.
        fleet.vms[vm].wall_offset = -1.0
        fleet.count(vm, "t-1")
        fleet.vms[vm].wall_offset = 0.0
        self.finish(fleet, window)

    def test_two_relays_write(self) -> None:
        fleet, relay, window = self.prepare()
        cut = [vm for vm in fleet.vms if vm.startswith("north") and vm != relay][:2]
        for vm in cut:
            fleet.extra_delay[vm, relay] = fleet.extra_delay[relay, vm] = 1e6
        fleet.advance(4 * SETTINGS.usage_window)
        check_reports(fleet, window, window + 1, window + 2)

    def test_windows_that_reach_no_relay_are_written_by_the_vms(self) -> None:
        fleet, _, window = self.prepare()

        def drops(sender: str, receiver: str, message) -> bool:
            return isinstance(message, GatewayUpdate) and message.closed_window != -1

        fleet.drops = drops
        self.finish(fleet, window, REPORT_SECONDS)

    def test_vms_that_the_holder_does_not_know_write_before_the_seal(self) -> None:
        """Windows were sealed without VMs that the holder did not know of."""
        fleet, _, window = self.prepare()
        holder = next(
            name
            for name, vm in fleet.vms.items()
            if vm.authority.get_fencing_number() is not None
        )
        for name in fleet.vms:
            fleet.extra_delay[name, holder] = fleet.extra_delay[holder, name] = 1e6
        entries = fleet.gateways[holder].members.entries
        for name in list(entries):
            if name != holder:
                del entries[name]

        def drops(sender: str, receiver: str, message) -> bool:
            return isinstance(message, GatewayUpdate) and message.closed_window != -1

        fleet.drops = drops
        fleet.advance(REPORT_SECONDS)
        check_reports(fleet, window)

    @pytest.mark.parametrize("silent", [False, True])
    def test_store_is_away(self, silent: bool) -> None:
        fleet, _, window = self.prepare()
        self.set_store(fleet, silent, away=True)
        fleet.advance(COPIED_SECONDS + 4.0)
        self.set_store(fleet, silent, away=False)
        self.finish(fleet, window, REPORT_SECONDS)

    @pytest.mark.parametrize("seconds", [10.0, 10.4, 10.8])
    @pytest.mark.parametrize("sizes", [SIZES, {"north": 2, "south": 2}])
    def test_store_is_away_until_reports_are_late(
        self, sizes: dict[str, int], seconds: float
    ) -> None:
        fleet = start(sizes)
        window = fleet.advance_to_window(SETTINGS.usage_window)
        fleet.server.down = True
        fleet.advance(seconds)
        fleet.server.down = False
        self.finish(fleet, window, REPORT_SECONDS)

    def set_store(self, fleet: StoreFleet, silent: bool, *, away: bool) -> None:
        fleet.server.down = away and not silent
        for vm in fleet.vms.values():
            vm.calls.silent = away and silent

    def test_vm_restarts(self) -> None:
        fleet, relay, window = self.prepare()
        vm = next(name for name in fleet.vms if name[:5] == "north" and name != relay)
        fleet.idle.add(vm)
        fleet.advance(COPIED_SECONDS)
        fleet.restart(vm)
        fleet.advance(2.0)
        fleet.idle.discard(vm)
        self.finish(fleet, window, REPORT_SECONDS)

    def test_all_vms_lose_power(self) -> None:
        fleet, _, window = self.prepare()
        fleet.advance(COPIED_SECONDS + 1.3)
        for vm in list(fleet.vms):
            fleet.kill(vm)
        fleet.advance(0.5)
        for vm in list(fleet.vms):
            fleet.restart(vm)
        fleet.advance(REPORT_SECONDS)
        check_reports(fleet, window)
        # Requests that no VM has written are lost with the power.
        for customer, count in fleet.reports[window + 1].items():
            assert count <= fleet.truth[window + 1][customer]

    def test_stopping_vm_writes_by_itself(self) -> None:
        fleet, relay, window = self.prepare()
        vm = next(name for name in fleet.vms if name[:5] == "north" and name != relay)
        fleet.vms[vm].stopping = True
        fleet.vms[vm].calls.sent.clear()
        fleet.advance(COPIED_SECONDS + 0.45)
        assert fleet.vms[vm].calls.sent[APPEND] == 1
        self.finish(fleet, window)

    def test_confirmation_of_another_process_stores_nothing(self) -> None:
        fleet, relay, window = self.prepare()
        gateway = fleet.gateways[relay]
        row = ("an earlier process", window, gateway.usage.compute_digest(window))
        update = FleetUpdate(0.0, (), 0, 0.0, 0, 0.0, usage_stored=(row,))
        gateway.mesh.handlers[FleetUpdate]("north-1", update)
        assert window in gateway.usage.list_unwritten(window + 1)

    def test_counts_that_change_during_the_append_stay_pending(self) -> None:
        served, key = ServedUsage(), ServedWindow("vm-1", "a", 5)
        served.record_closed(key, {"t": 3}, 1.0)
        batch = served.list_pending()
        served.record_closed(key, {"t": 4}, 1.1)
        served.record_stored(batch)
        assert served.list_pending() == {key: {"t": 4}}
