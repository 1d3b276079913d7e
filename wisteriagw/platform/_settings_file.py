"""Parsing of the settings file that the platform writes."""

from __future__ import annotations

import re
import tomllib
from ipaddress import IPv4Address
from typing import Any

from wisteriagw.findings import Finding
from wisteriagw.platform._node_settings import NodeSettings

SETTINGS_VARIABLE = "WISTERIAGW_NODE_FILE"
MISSING = object()
SECONDS_PER_MS = 0.001
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535

# Path in the file, field of NodeSettings, type, and factor to the field's unit.
FIELDS: tuple[tuple[str, str, type, float], ...] = (
    ("node_name", "vm", str, 1),
    ("zone", "data_centre", str, 1),
    ("bootstrap", "first_start", bool, 1),
    ("heartbeat_ms", "heartbeat", float, SECONDS_PER_MS),
    ("bounds.revoke_ms", "withdrawal_seconds", float, SECONDS_PER_MS),
    ("bounds.budget_ratio", "retry_ratio", float, 1),
    ("bounds.budget_slack", "retry_allowance", float, 1),
    ("bounds.budget_window_s", "retry_window", float, 1),
    ("bounds.lease_ms", "lease_seconds", float, SECONDS_PER_MS),
    ("bounds.window_s", "usage_window", float, 1),
    ("bounds.usage_late_s", "usage_due", float, 1),
    ("bounds.grace_s", "shutdown_seconds", float, 1),
    ("bounds.drain_ms", "drain_seconds", float, SECONDS_PER_MS),
    ("bounds.contact_ms", "contact_seconds", float, SECONDS_PER_MS),
    ("bounds.ttl_max_s", "address_seconds", float, 1),
    ("bounds.config_apply_ms", "apply_seconds", float, SECONDS_PER_MS),
    ("limits.memory_mb", "memory_mb", int, 1),
    ("limits.cpu_share", "core_part", float, 1),
    ("limits.cores", "core_speed", float, 1),
)
# Fields that are absent where they do not apply.
OPTIONAL_FIELDS = (
    ("bounds.quota_window_s", "quota_window", float, 1),
    ("bounds.quota_over", "quota_over", float, 1),
    ("bounds.quota_slack", "quota_slack", float, 1),
)
ADDRESSES = (
    ("listen.front", "front"),
    ("listen.ready", "ready"),
    ("listen.directory", "directory"),
    ("platform.address", "store"),
    ("cloud_api.address", "duties"),
)


def parse_settings(text: str) -> NodeSettings | list[Finding]:
    """Parse the settings, or return a finding for each error."""
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [Finding("settings file", str(error))]
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for path, field, kind, factor in (*FIELDS, *OPTIONAL_FIELDS):
        value = find_value(tree, path)
        if value is MISSING and (path, field, kind, factor) in OPTIONAL_FIELDS:
            continue
        if not has_type(value, kind):
            findings.append(Finding(path, f"must be of type {kind.__name__}"))
            continue
        values[field] = value if kind in (str, bool, int) else value * factor
    for path, field in ADDRESSES:
        address = parse_address(find_value(tree, path))
        if address is None:
            findings.append(Finding(path, "must be of the form IP:PORT"))
            continue
        values[field] = address
    zones = find_value(tree, "zones")
    if not isinstance(zones, dict) or not zones:
        findings.append(Finding("zones", "must be a non-empty table of data centres"))
        zones = {}
    values["data_centres"] = tuple(zones)
    # VMs connect to each other on the first port of the range, which the platform
    # leaves free.
    ports = find_value(tree, "port_range")
    if isinstance(ports, list) and ports and has_type(ports[0], int):
        values["peers"] = (str(find_value(tree, "ip")), ports[0])
    else:
        findings.append(Finding("port_range", "must be a list of two ports"))
    return findings or NodeSettings(**values)


def find_value(tree: Any, path: str) -> Any:
    """Return the value at a dotted path, or ``MISSING``."""
    for name in path.split("."):
        if not isinstance(tree, dict) or name not in tree:
            return MISSING
        tree = tree[name]
    return tree


def has_type(value: Any, kind: type) -> bool:
    """Return whether a value has a type; integers are accepted as floats."""
    if kind is float:
        return type(value) in (int, float)
    return type(value) is kind


def parse_address(value: Any) -> tuple[str, int] | None:
    """Return the host and port of ``IP:PORT`` (IPv4), or None."""
    if not isinstance(value, str):
        return None
    host, colon, port = value.rpartition(":")
    if not colon or not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    try:
        return str(IPv4Address(host)), int(port)
    except ValueError:
        return None
