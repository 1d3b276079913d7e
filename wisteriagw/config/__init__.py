"""Configuration: sheet, customers, keys and drains."""

from __future__ import annotations

from wisteriagw.config._backend_server_row import BackendServerRow
from wisteriagw.config._checkpoint_codec import CONFIG_CODEC
from wisteriagw.config._config_state import ConfigState
from wisteriagw.config._customer_row import CustomerRow
from wisteriagw.config._fold import NO_REVISION, apply_record, build_empty_config
from wisteriagw.config._keys import create_key, find_customer, hash_key
from wisteriagw.config._model_row import ModelRow
from wisteriagw.config._refusal import Refusal
from wisteriagw.config._refusals import find_refusal
from wisteriagw.config._route_row import RouteRow
from wisteriagw.config._sheet import Sheet
from wisteriagw.config._sheet_parsing import COLUMNS, parse_sheet

__all__ = [
    "COLUMNS",
    "CONFIG_CODEC",
    "NO_REVISION",
    "BackendServerRow",
    "ConfigState",
    "CustomerRow",
    "ModelRow",
    "Refusal",
    "RouteRow",
    "Sheet",
    "apply_record",
    "build_empty_config",
    "create_key",
    "find_customer",
    "find_refusal",
    "hash_key",
    "parse_sheet",
]
