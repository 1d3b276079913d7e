"""Execution of orders, one step at a time."""

from __future__ import annotations

import json
import secrets
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks

from wisteriagw.clients import BackendsUnavailableError
from wisteriagw.clocks import read_wall_time
from wisteriagw.control._control_context import (
    ORDERS_STREAM,
    ControlContext,
)
from wisteriagw.orders import (
    GiveBack,
    OrderBackendServer,
    check_receiver,
    decide_backend_server_order,
    decide_engine_order,
    encode_order,
    find_settled_orders,
)
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun
from wisteriagw.records import AuditEntry, OrderIntent, OrderSettled, encode_record
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections.abc import Generator

    from wisteriagw.control._order_receiver import OrderReceiver
    from wisteriagw.outcomes import Outcome

ORDER_ID_BYTES = 8
# Status with which receivers refuse an order before it has any effect.
REFUSED_STATUS = 409
# A cycle reads the receiver, writes an intent and sends, each at most once.
MAX_STEPS = 3


@singledispatch
def dispatch_order(order: Any, context: ControlContext) -> Deferred[None]:
    """Execute the steps of an order that are allowed now."""
    return _dispatch_engine_order(order, context)


@dispatch_order.register
def _(order: OrderBackendServer, context: ControlContext) -> Deferred[None]:
    return _dispatch_backend_server_order(order, context)


@dispatch_order.register
def _(order: GiveBack, context: ControlContext) -> Deferred[None]:
    return _dispatch_release(order, context)


@inlineCallbacks
def read_engine(
    context: ControlContext, name: str
) -> Generator[Deferred[Any], Any, None]:
    """Read the state of an engine on the sheet."""
    address = _find_address(context, name)
    if address is None:
        return
    started = context.clock()
    state = yield context.engines_client.read_state(address)
    context.get_engine(name).update_state(state, started)


@inlineCallbacks
def read_backends(context: ControlContext) -> Generator[Deferred[Any], Any, None]:
    """Read the orders of the backend server interface."""
    if context.backends_client is None:
        return
    started = context.clock()
    try:
        orders = yield context.backends_client.list_orders()
    except BackendsUnavailableError:
        return
    context.backends.update_state(orders, started)


@inlineCallbacks
def record_settled_orders(
    context: ControlContext,
) -> Generator[Deferred[Any], Any, None]:
    """Record the orders that have ended, so that their ids need not be kept."""
    listed = context.backends.state or ()
    for listed_order in find_settled_orders(context.orders_follower.state, listed):
        record = OrderSettled(
            listed_order.need, listed_order.order_id, listed_order.state
        )
        yield context.log.append(ORDERS_STREAM, encode_record(record))


@inlineCallbacks
def _dispatch_engine_order(
    order: Any, context: ControlContext
) -> Generator[Deferred[Any], Any, None]:
    rows = {row["name"]: row for row in context.list_engines()}
    row = rows.get(order.engine)
    if row is None:
        return
    engine = context.get_engine(order.engine)
    for _ in range(MAX_STEPS):
        view = context.authority.build_receiver_view(
            engine, checks_fencing=row["checks_fencing"]
        )
        step = decide_engine_order(order, engine.state, view, context.clock())
        if step.action == "read":
            read_at = engine.read_at
            yield read_engine(context, order.engine)
            if engine.read_at == read_at:
                return
            continue
        if step.action != "send":
            return
        order_id = secrets.token_hex(ORDER_ID_BYTES)
        sending = context.engines_client.send_order(
            _find_address(context, order.engine), order, order_id, view.fencing_number
        )
        outcome = yield _await_outcome(context, engine, sending)
        before = dict(engine.state._asdict())
        _audit(context, order, order.engine, before, step.reason, outcome)
        return


@inlineCallbacks
def _dispatch_backend_server_order(
    order: OrderBackendServer, context: ControlContext
) -> Generator[Deferred[Any], Any, None]:
    if context.backends_client is None:
        return
    for _ in range(MAX_STEPS):
        view = _build_backends_view(context)
        order_id = context.orders_follower.state.get(order.need)
        listed = context.backends.state or ()
        step = decide_backend_server_order(
            order, order_id, listed, view, context.clock()
        )
        if step.action == "read":
            read_at = context.backends.read_at
            yield read_backends(context)
            if context.backends.read_at == read_at:
                return
            continue
        if step.action == "intend":
            yield _append_intent(context, order, view.fencing_number)
            continue
        if step.action != "send":
            return
        yield _send_to_backends(context, order, order_id, step.reason)
        return


@inlineCallbacks
def _dispatch_release(
    order: GiveBack, context: ControlContext
) -> Generator[Deferred[Any], Any, None]:
    if context.backends_client is None:
        return
    yield read_backends(context)
    listed = {
        listed_order.order_id: listed_order
        for listed_order in context.backends.state or ()
    }
    found = listed.get(order.order_id)
    if found is None or found.state not in ("starting", "running"):
        return
    if check_receiver(_build_backends_view(context), context.clock()) is not None:
        return
    yield _send_to_backends(context, order, order.order_id, "not needed any more")


@inlineCallbacks
def _append_intent(
    context: ControlContext, order: OrderBackendServer, number: int
) -> Generator[Deferred[Any], Any, None]:
    order_id = secrets.token_hex(ORDER_ID_BYTES)
    intent = OrderIntent(order.need, order_id, number, encode_order(order))
    yield context.log.append(ORDERS_STREAM, encode_record(intent))
    # Only the order id in the log is valid; another holder's intent may precede it.
    yield context.orders_follower.poll()


@inlineCallbacks
def _send_to_backends(
    context: ControlContext, order: Any, order_id: str, cause: str
) -> Generator[Deferred[Any], Any, None]:
    number = context.authority.lease.get_fencing_number()
    if number is None:
        return
    sending = context.backends_client.send_order(order, order_id, number)
    outcome = yield _await_outcome(context, context.backends, sending)
    _audit(context, order, f"order {order_id}", {}, cause, outcome)


@inlineCallbacks
def _await_outcome(
    context: ControlContext, receiver: OrderReceiver, sending: Deferred[Outcome]
) -> Generator[Deferred[Any], Any, Outcome]:
    lease = context.authority.lease
    sent_before = receiver.sent_at
    receiver.sent_at = context.clock()
    lease.busy = True
    outcome = yield sending
    lease.busy = False
    receiver.sent_at = sent_before if _has_not_run(outcome) else context.clock()
    return outcome


def _has_not_run(outcome: Outcome) -> bool:
    """Return whether an order certainly had no effect, so that it may be resent."""
    if isinstance(outcome, Done):
        return outcome.status == REFUSED_STATUS
    return isinstance(outcome, FailedNotRun)


def _build_backends_view(context: ControlContext) -> Any:
    checks = context.settings["backends-check-fencing"] == "true"
    return context.authority.build_receiver_view(
        context.backends, checks_fencing=checks
    )


def _audit(
    context: ControlContext,
    order: Any,
    subject: str,
    before: dict[str, Any],
    cause: str,
    outcome: Outcome,
) -> None:
    entry = AuditEntry(
        actor=f"control on {context.settings['vm']}",
        action=type(order).__name__,
        subject=subject,
        customer="",
        before=json.dumps(before),
        after=json.dumps(encode_order(order)),
        cause=cause,
        revision=context.config_follower.state.revision,
        result=_describe_outcome(outcome),
        at=read_wall_time(),
    )
    context.audit.write(entry)
    context.metrics.send("orders.sent")
    if isinstance(outcome, MayHaveRun):
        context.metrics.send("orders.unknown")


def _describe_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, FailedNotRun):
        return f"not run: {outcome.reason}"
    if not isinstance(outcome, Done):
        return f"may have run: {outcome}"
    if outcome.status == 200:
        return "taken"
    try:
        return f"refused: {json.loads(outcome.body)['error']['code']}"
    except (KeyError, TypeError, ValueError):
        return f"refused: status {outcome.status}"


def _find_address(context: ControlContext, name: str) -> tuple[str, int] | None:
    for row in context.list_engines():
        if row["name"] == name:
            return parse_value(AddressKind(), row["address"])
    return None
