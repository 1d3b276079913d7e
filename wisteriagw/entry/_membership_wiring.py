"""Wiring of membership to the mesh, the VM list and the clock."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from wisteriagw.clients import VmListClient, VmListUnavailableError
from wisteriagw.entry._permit_loss import PermitLoss, track_permit
from wisteriagw.membership import (
    HEARTBEAT_SECONDS,
    list_direct_peers,
    list_relay_peers,
)
from wisteriagw.mesh import Mesh, PeerAddress
from wisteriagw.messages import (
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    DigestPush,
    Heartbeat,
    ProbeReply,
    ProbeRequest,
    UsageCopy,
    UsageCopyAck,
)

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.entry._usage_replicator import UsageReplicator

logger = logging.getLogger(__name__)

DEFAULT_MESH_PORT = 7860
VM_LIST_POLL_SECONDS = 1.0
PERMIT_CHECK_SECONDS = 0.25
MESSAGE_TYPES = (
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    DigestPush,
    Heartbeat,
    ProbeReply,
    ProbeRequest,
)


def start_membership(
    context: EntryContext, reactor: Any, usage: UsageReplicator, transport: Any = None
) -> None:
    """Start the mesh and the periodic updates of the membership."""
    _start_permit_monitor(context)
    settings = context.settings
    if settings["vm-list"] is None:
        return
    host, port = settings["mesh-listen"] or (settings["listen"][0], DEFAULT_MESH_PORT)
    mesh = Mesh(reactor, settings["vm"], transport)
    mesh.listen(host, port)
    context.mesh = mesh
    usage_handlers = {UsageCopy: usage.handle_copy, UsageCopyAck: usage.handle_ack}
    for message_type, handler in usage_handlers.items():
        mesh.subscribe(message_type, handler)
    for message_type in MESSAGE_TYPES:
        mesh.subscribe(message_type, context.membership.handle)
    client = VmListClient(context.client, settings["vm-list"])
    LoopingCall(_poll_vm_list, context, client).start(VM_LIST_POLL_SECONDS)
    LoopingCall(_tick, context, mesh, port, usage).start(HEARTBEAT_SECONDS)


def _tick(context: EntryContext, mesh: Mesh, port: int, usage: UsageReplicator) -> None:
    membership = context.membership
    state = membership.state
    links = [vm for vm in usage.list_linked_vms() if vm in state.members]
    names = [
        *links,
        *list_direct_peers(state),
        *list_relay_peers(state, membership.clock()),
    ]
    mesh.set_peers(PeerAddress(vm, state.members[vm].host, port) for vm in names)
    membership.tick()
    # A configuration snapshot from a peer skips the records of withdrawals.
    context.requests_by_key.abort_withdrawn(context.config.key_customers)


@inlineCallbacks
def _poll_vm_list(
    context: EntryContext, client: VmListClient
) -> Generator[Deferred[Any], Any, None]:
    try:
        entries = yield client.list_vms()
    except VmListUnavailableError as error:
        logger.warning("the VM list cannot be read, the last one is kept: %s", error)
        return
    if not entries:
        logger.warning("the VM list is empty; keeping the last one")
        return
    context.membership.set_vm_list(entries)


def _start_permit_monitor(context: EntryContext) -> None:
    loss = PermitLoss()

    def check() -> None:
        nonlocal loss
        held = context.membership.get_permit().held
        loss, must_end = track_permit(loss, held=held, now=context.clock())
        if must_end and len(context.open_streams):
            logger.warning(
                "no serving permit; aborting %d streams", len(context.open_streams)
            )
            context.open_streams.abort_all()

    LoopingCall(check).start(PERMIT_CHECK_SECONDS)
