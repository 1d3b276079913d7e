"""Adapter to the users' platform: its names, formats and calls.

Only this package uses the platform's names, and it makes no decisions.
"""

from __future__ import annotations

from wisteriagw.platform._append_conflict import AppendConflictError
from wisteriagw.platform._caller_decoding import decode_caller_request
from wisteriagw.platform._caller_request import CallerRequest
from wisteriagw.platform._configuration import decode_configuration
from wisteriagw.platform._directory import (
    JSON_HEADERS,
    READY_PATH,
    RESOLVE_PATH,
    decode_caller_data_centre,
    encode_addresses,
)
from wisteriagw.platform._duty_client import (
    DutyClient,
    is_done,
    is_none_available,
    is_unknown,
)
from wisteriagw.platform._engine_client import MAX_ANSWER_BYTES, EngineClient
from wisteriagw.platform._forwarding import encode_forwarded
from wisteriagw.platform._forwarding_terms import ForwardingTerms
from wisteriagw.platform._node_settings import NodeSettings
from wisteriagw.platform._register import decode_entry
from wisteriagw.platform._responses import (
    belongs_to,
    build_handle_target,
    decode_handle,
    encode_refusal,
    filter_headers,
    is_event_stream,
    is_genuine,
    reports_not_run,
)
from wisteriagw.platform._server_notices import decode_notices
from wisteriagw.platform._settings_file import (
    SETTINGS_VARIABLE,
    parse_address,
    parse_settings,
)
from wisteriagw.platform._stopped_run import decode_stopped_run, reports_no_run
from wisteriagw.platform._store_client import CALL_TIMEOUT_SECONDS, StoreClient
from wisteriagw.platform._store_page import StorePage
from wisteriagw.platform._store_record import StoreRecord
from wisteriagw.platform._store_unavailable import StoreUnavailableError
from wisteriagw.platform._topics import (
    AUTHORITY_TOPIC,
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    QUARANTINES_TOPIC,
    REGISTER_TOPIC,
    REPORTS_TOPIC,
    USAGE_TOPIC,
)

__all__ = [
    "AUTHORITY_TOPIC",
    "CALL_TIMEOUT_SECONDS",
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "JSON_HEADERS",
    "MAX_ANSWER_BYTES",
    "MEMBERS_TOPIC",
    "QUARANTINES_TOPIC",
    "READY_PATH",
    "REGISTER_TOPIC",
    "REPORTS_TOPIC",
    "RESOLVE_PATH",
    "SETTINGS_VARIABLE",
    "USAGE_TOPIC",
    "AppendConflictError",
    "CallerRequest",
    "DutyClient",
    "EngineClient",
    "ForwardingTerms",
    "NodeSettings",
    "StoreClient",
    "StorePage",
    "StoreRecord",
    "StoreUnavailableError",
    "belongs_to",
    "build_handle_target",
    "decode_caller_data_centre",
    "decode_caller_request",
    "decode_configuration",
    "decode_entry",
    "decode_handle",
    "decode_notices",
    "decode_stopped_run",
    "encode_addresses",
    "encode_forwarded",
    "encode_refusal",
    "filter_headers",
    "is_done",
    "is_event_stream",
    "is_genuine",
    "is_none_available",
    "is_unknown",
    "parse_address",
    "parse_settings",
    "reports_no_run",
    "reports_not_run",
]
