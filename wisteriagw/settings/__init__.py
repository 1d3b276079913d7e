"""Settings from flags and environment variables, validated together."""

from __future__ import annotations

from wisteriagw.settings._address_kind import AddressKind
from wisteriagw.settings._address_list_kind import AddressListKind
from wisteriagw.settings._choice_kind import ChoiceKind
from wisteriagw.settings._common_options import (
    DATA_CENTRE,
    LEASE_LISTEN,
    LOG,
    LOG_LEVEL,
    POLL_SECONDS,
    STATSD,
    USAGE_WINDOW_SECONDS,
    VM,
    VM_LIST,
)
from wisteriagw.settings._file_kind import FileKind
from wisteriagw.settings._flag_kind import FlagKind
from wisteriagw.settings._integer_kind import IntegerKind
from wisteriagw.settings._kind_description import describe_kind
from wisteriagw.settings._loading import (
    EXIT_INVALID_SETTINGS,
    build_parser,
    check_settings,
    get_variable_name,
    load_settings,
)
from wisteriagw.settings._number_kind import NumberKind
from wisteriagw.settings._option import Option
from wisteriagw.settings._parsing import parse_value
from wisteriagw.settings._text_kind import TextKind

__all__ = [
    "DATA_CENTRE",
    "LEASE_LISTEN",
    "LOG",
    "LOG_LEVEL",
    "POLL_SECONDS",
    "STATSD",
    "USAGE_WINDOW_SECONDS",
    "VM",
    "VM_LIST",
    "EXIT_INVALID_SETTINGS",
    "AddressKind",
    "AddressListKind",
    "ChoiceKind",
    "FileKind",
    "FlagKind",
    "IntegerKind",
    "NumberKind",
    "Option",
    "TextKind",
    "build_parser",
    "check_settings",
    "describe_kind",
    "get_variable_name",
    "load_settings",
    "parse_value",
]
