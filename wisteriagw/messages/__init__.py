"""Message types of the mesh and their codec."""

from __future__ import annotations

from wisteriagw.messages._cached_parts_transfer import CachedPartsTransfer
from wisteriagw.messages._codec import decode_message, encode_message
from wisteriagw.messages._config_records import ConfigRecords
from wisteriagw.messages._config_request import ConfigRequest
from wisteriagw.messages._config_snapshot import ConfigSnapshot
from wisteriagw.messages._crash_reports import CrashReports
from wisteriagw.messages._digest_push import DigestPush
from wisteriagw.messages._fleet_update import FleetUpdate
from wisteriagw.messages._gateway_update import GatewayUpdate
from wisteriagw.messages._heartbeat import Heartbeat
from wisteriagw.messages._probe_reply import ProbeReply
from wisteriagw.messages._probe_request import ProbeRequest
from wisteriagw.messages._registry import register_message
from wisteriagw.messages._relay_update import RelayUpdate
from wisteriagw.messages._server_notices import ServerNotices
from wisteriagw.messages._usage_copy import UsageCopy
from wisteriagw.messages._usage_copy_ack import UsageCopyAck
from wisteriagw.messages._work_report import WorkReport

__all__ = [
    "ConfigRecords",
    "ConfigRequest",
    "ConfigSnapshot",
    "CrashReports",
    "DigestPush",
    "FleetUpdate",
    "GatewayUpdate",
    "Heartbeat",
    "CachedPartsTransfer",
    "ProbeReply",
    "ProbeRequest",
    "RelayUpdate",
    "ServerNotices",
    "UsageCopy",
    "UsageCopyAck",
    "WorkReport",
    "decode_message",
    "encode_message",
    "register_message",
]
