"""Message types of the mesh and their codec."""

from __future__ import annotations

from wisteriagw.messages._codec import decode_message, encode_message
from wisteriagw.messages._config_records import ConfigRecords
from wisteriagw.messages._config_request import ConfigRequest
from wisteriagw.messages._config_snapshot import ConfigSnapshot
from wisteriagw.messages._digest_push import DigestPush
from wisteriagw.messages._fleet_news import FleetNews
from wisteriagw.messages._gateway_news import GatewayNews
from wisteriagw.messages._heartbeat import Heartbeat
from wisteriagw.messages._parts_news import PartsNews
from wisteriagw.messages._probe_reply import ProbeReply
from wisteriagw.messages._probe_request import ProbeRequest
from wisteriagw.messages._registry import register_message
from wisteriagw.messages._relay_news import RelayNews
from wisteriagw.messages._usage_copy import UsageCopy
from wisteriagw.messages._usage_copy_ack import UsageCopyAck
from wisteriagw.messages._work_report import WorkReport

__all__ = [
    "ConfigRecords",
    "ConfigRequest",
    "ConfigSnapshot",
    "DigestPush",
    "FleetNews",
    "GatewayNews",
    "Heartbeat",
    "PartsNews",
    "ProbeReply",
    "ProbeRequest",
    "RelayNews",
    "UsageCopy",
    "UsageCopyAck",
    "WorkReport",
    "decode_message",
    "encode_message",
    "register_message",
]
