"""Tests of the decisions on orders."""

from __future__ import annotations

import pytest

from wisteriagw.orders import (
    ChangeRole,
    EngineState,
    ListedOrder,
    LoadAdapter,
    LoadModel,
    LoadVersion,
    OrderBackendServer,
    ReceiverView,
    apply_order_record,
    decide_backend_server_order,
    decide_engine_order,
    find_settled_orders,
    is_satisfied,
)
from wisteriagw.records import OrderIntent, OrderSettled

NOW = 1000.0
NEVER = float("-inf")
UNBLOCKED = ReceiverView(7, True, False, 900.0, 900.0, NEVER, NOW)
STATE = EngineState("decode", "ledger", "1", ("short",), False, "o-1", 7)
NEED = OrderBackendServer("dc1/ledger/1", "dc1", "ledger", True)
LISTED = ListedOrder("o-9", NEED.need, "running", "dc1", "ledger", True, "", 0.0)

# Receivers that must not get an order: fault, changed fields and the only safe step.
BLOCKED = (
    ("no authority", {"fencing_number": None}, "wait"),
    ("unproved end", {"checks_fencing": False, "unproved": True}, "wait"),
    ("fresh proof", {"checks_fencing": False, "proved_at": NOW - 1}, "wait"),
    (
        "read within the handover grace",
        {"checks_fencing": False, "proved_at": NOW - 2.5, "read_at": NOW - 0.9},
        "read",
    ),
    ("reply lost after the read", {"sent_at": NOW - 0.1, "read_at": NOW - 0.2}, "read"),
    ("read under an earlier grant", {"granted_at": NOW, "read_at": NOW - 0.1}, "read"),
    (
        "sent at the time of the read",
        {"sent_at": NOW - 0.5, "read_at": NOW - 0.5},
        "read",
    ),
    ("old state", {"read_at": NOW - 5}, "read"),
)


class TestEngineOrders:
    """Guards against conflicting orders to an engine."""

    @pytest.mark.parametrize(("fault", "fields", "action"), BLOCKED)
    def test_no_order_goes_to_a_blocked_receiver(self, fault, fields, action) -> None:
        view = UNBLOCKED._replace(**fields)
        step = decide_engine_order(ChangeRole("e", "prefill"), STATE, view, NOW)
        assert step.action == action, fault

    def test_change_in_progress_blocks_and_unproved_end_does_not_if_fenced(
        self,
    ) -> None:
        order = ChangeRole("e", "prefill")
        changing = STATE._replace(changing=True)
        assert decide_engine_order(order, changing, UNBLOCKED, NOW).action == "wait"
        view = UNBLOCKED._replace(unproved=True)
        assert decide_engine_order(order, STATE, view, NOW).action == "send"

    @pytest.mark.parametrize(
        ("order", "satisfied"),
        [
            (ChangeRole("e", "decode"), True),
            (ChangeRole("e", "prefill"), False),
            (LoadModel("e", "ledger", "1"), True),
            (LoadModel("e", "ledger", "2"), False),
            (LoadVersion("e", "2"), False),
            (LoadAdapter("e", "short"), True),
            (LoadAdapter("e", "long"), False),
        ],
    )
    def test_only_orders_that_are_not_satisfied_are_sent(
        self, order, satisfied
    ) -> None:
        assert is_satisfied(order, STATE) == satisfied
        action = decide_engine_order(order, STATE, UNBLOCKED, NOW).action
        assert action == ("done" if satisfied else "send")


class TestBackendServerOrders:
    """Guards against paying twice for one need."""

    @pytest.mark.parametrize(("fault", "fields", "action"), BLOCKED)
    def test_nothing_is_ordered_from_a_blocked_interface(
        self, fault, fields, action
    ) -> None:
        step = decide_backend_server_order(
            NEED, "o-9", (), UNBLOCKED._replace(**fields), NOW
        )
        assert step.action == action, fault

    @pytest.mark.parametrize(
        ("fault", "order_id", "listed", "sent_at", "action"),
        [
            ("no intent in the log", None, (), NEVER, "intend"),
            ("intent without a send", "o-9", (), NEVER, "send"),
            ("reply lost after taking effect", "o-9", (LISTED,), NOW - 1, "done"),
            ("may still take effect", "o-9", (), NOW - 29, "wait"),
            ("did not take effect", "o-9", (), NOW - 31, "send"),
            ("intent gone from the log", None, (LISTED,), NEVER, "done"),
        ],
    )
    def test_next_step_after_each_fault(
        self, fault, order_id, listed, sent_at, action
    ) -> None:
        view = UNBLOCKED._replace(sent_at=sent_at)
        assert (
            decide_backend_server_order(NEED, order_id, listed, view, NOW).action
            == action
        ), fault

    def test_second_intent_of_a_need_does_not_change_the_order_id(self) -> None:
        first = OrderIntent("n", "o-1", 3, {})
        state = apply_order_record(first, {}, 0)
        state = apply_order_record(first._replace(order_id="o-2", grant=5), state, 1)
        assert state == {"n": "o-1"}
        assert (
            apply_order_record(OrderSettled("n", "o-1", "given_back"), state, 2) == {}
        )

    def test_only_ended_orders_with_a_kept_id_are_settled(self) -> None:
        ended = LISTED._replace(state="reclaimed")
        other = ended._replace(order_id="o-7")
        assert find_settled_orders({NEED.need: "o-9"}, (LISTED, other, ended)) == [
            ended
        ]
