"""Settings of the control program."""

from __future__ import annotations

from wisteriagw.checkpoints import RETENTION_OPTIONS
from wisteriagw.settings import (
    DATA_CENTRE,
    LEASE_LISTEN,
    LOG,
    LOG_LEVEL,
    POLL_SECONDS,
    STATSD,
    VM,
    VM_LIST,
    AddressKind,
    ChoiceKind,
    FileKind,
    IntegerKind,
    NumberKind,
    Option,
)

OPTIONS = (
    VM,
    DATA_CENTRE,
    LEASE_LISTEN,
    LOG,
    VM_LIST,
    Option(
        "backends",
        AddressKind(),
        "",
        "Address of the platform's backend server interface.",
    ),
    Option(
        "backends-check-fencing",
        ChoiceKind(("true", "false")),
        "false",
        "Whether the backend server interface refuses old fencing numbers.",
    ),
    Option(
        "entry-operator-port",
        IntegerKind(0, 65535, "port"),
        "0",
        "Port of the operators' interface on the entry VMs, from which their demand is "
        "read. With 0 engines keep their roles on the sheet.",
    ),
    Option(
        "operator-token-file",
        FileKind(),
        "",
        "File with the operator token for that interface.",
    ),
    POLL_SECONDS,
    Option(
        "plan-seconds",
        NumberKind(0.1, 60.0, "s"),
        "2",
        "Interval between planning cycles.",
    ),
    *RETENTION_OPTIONS,
    LOG_LEVEL,
    STATSD,
)
