"""Handling of the messages that membership receives."""

from __future__ import annotations

import logging
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.membership._probes import decide_probe_reply
from wisteriagw.membership._summaries import apply_digest, to_age_ms
from wisteriagw.membership._updates import apply_heartbeat, apply_probe_reply
from wisteriagw.messages import (
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    DigestPush,
    Heartbeat,
    ProbeReply,
    ProbeRequest,
)

if TYPE_CHECKING:
    from wisteriagw.membership._membership import Membership

logger = logging.getLogger(__name__)

# A page stays well below the maximum size of a mesh frame.
MAX_RECORDS_BYTES = 256 * 1024
# 2,400 keys and 1,500 backend servers take about 350 KB.
MAX_SNAPSHOT_BYTES = 768 * 1024
CONFIG_REQUEST_INTERVAL_SECONDS = 0.2


@singledispatch
def handle_message(message: Any, membership: Membership, sender: str) -> None:
    """Apply a message; types that are not registered here change nothing."""


@handle_message.register(Heartbeat)
def _(message: Heartbeat, membership: Membership, sender: str) -> None:
    if message.vm != sender:
        return
    now = membership.clock()
    membership.state = apply_heartbeat(membership.state, message, now)
    membership.merge_departures(message.departures)
    if message.config_revision <= membership.follower.state.revision:
        return
    if now - membership.last_config_request_at < CONFIG_REQUEST_INTERVAL_SECONDS:
        return
    membership.last_config_request_at = now
    membership.send(sender, ConfigRequest(membership.follower.next_offset))


@handle_message.register(DigestPush)
def _(message: DigestPush, membership: Membership, sender: str) -> None:
    now = membership.clock()
    membership.state = apply_digest(membership.state, sender, message, now)
    membership.merge_departures(message.departures)


@handle_message.register(ConfigRequest)
def _(message: ConfigRequest, membership: Membership, sender: str) -> None:
    records = membership.history.list_from(message.start, MAX_RECORDS_BYTES)
    if records:
        membership.send(sender, ConfigRecords(message.start, records))
        return
    follower = membership.follower
    if follower.codec is None or follower.state_incomplete:
        return
    if message.start >= follower.next_offset:
        return
    data = follower.codec.encode(follower.state)
    if len(data) > MAX_SNAPSHOT_BYTES:
        logger.warning(
            "configuration snapshot is too large to send to a peer: %d bytes", len(data)
        )
        return
    through = follower.next_offset - 1
    membership.send(sender, ConfigSnapshot(through, follower.codec.fold, data))


@handle_message.register(ConfigRecords)
def _(message: ConfigRecords, membership: Membership, sender: str) -> None:
    follower = membership.follower
    # Pages are applied in order, because a record skipped in a gap is never applied.
    if message.start > follower.next_offset:
        return
    before = follower.next_offset
    follower.apply_records(tuple((offset, data) for offset, data in message.records))
    if follower.next_offset > before:
        membership.send(sender, ConfigRequest(follower.next_offset))


@handle_message.register(ConfigSnapshot)
def _(message: ConfigSnapshot, membership: Membership, sender: str) -> None:
    follower = membership.follower
    if follower.codec is None or message.fold != follower.codec.fold:
        return
    if follower.load_state(message.through, message.data):
        membership.send(sender, ConfigRequest(follower.next_offset))


@handle_message.register(ProbeRequest)
def _(message: ProbeRequest, membership: Membership, sender: str) -> None:
    reply = decide_probe_reply(membership.state, message.target, membership.clock())
    if reply is None:
        return
    incarnation, age = reply
    membership.send(sender, ProbeReply(message.target, incarnation, to_age_ms(age)))


@handle_message.register(ProbeReply)
def _(message: ProbeReply, membership: Membership, sender: str) -> None:
    membership.state = apply_probe_reply(membership.state, message, membership.clock())
