"""Settings of the usage reporter."""

from __future__ import annotations

from wisteriagw.checkpoints import RETENTION_OPTIONS
from wisteriagw.settings import (
    LEASE_LISTEN,
    LOG,
    LOG_LEVEL,
    POLL_SECONDS,
    STATSD,
    USAGE_WINDOW_SECONDS,
    VM,
    VM_LIST,
    AddressKind,
    ChoiceKind,
    NumberKind,
    Option,
)

OPTIONS = (
    VM,
    LEASE_LISTEN,
    LOG,
    VM_LIST,
    Option(
        "usage-interface",
        AddressKind(),
        None,
        "Address of the platform's usage interface.",
    ),
    Option(
        "checks-fencing",
        ChoiceKind(("true", "false")),
        "false",
        "Whether the usage interface refuses old fencing numbers.",
    ),
    USAGE_WINDOW_SECONDS,
    Option(
        "usage-grace-seconds",
        NumberKind(1.0, 600.0, "s"),
        "10",
        "Time after the end of a window until it is closed.",
    ),
    POLL_SECONDS,
    *RETENTION_OPTIONS,
    LOG_LEVEL,
    STATSD,
)
