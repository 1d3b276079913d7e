"""Settings of the entry program."""

from __future__ import annotations

from wisteriagw.settings import (
    DATA_CENTRE,
    LOG,
    LOG_LEVEL,
    STATSD,
    USAGE_WINDOW_SECONDS,
    VM,
    AddressKind,
    AddressListKind,
    FileKind,
    NumberKind,
    Option,
)
from wisteriagw.transport import CALLER_TLS_OPTIONS, FLEET_TLS_OPTIONS

OPTIONS = (
    VM,
    DATA_CENTRE,
    Option("listen", AddressKind(), None, "Address for callers."),
    Option("operator-listen", AddressKind(), None, "Address for operators."),
    Option(
        "operator-token-file",
        FileKind(),
        "",
        "File with the token of operators; without it they connect by loopback only.",
    ),
    LOG,
    Option(
        "vm-list",
        AddressKind(),
        "",
        "Address of the platform's VM list; without it the process serves alone.",
    ),
    Option(
        "mesh-listen",
        AddressKind(),
        "",
        "Address for other entry VMs, whose mesh port is the same. Without it, port "
        "7860 of the host of --listen is used.",
    ),
    Option(
        "entry-addresses",
        AddressListKind(),
        "",
        "Caller addresses of all entry VMs, used only without --vm-list.",
    ),
    Option(
        "config-poll-seconds",
        NumberKind(0.05, 2.0, "s"),
        "0.5",
        "Time between two reads of the configuration stream.",
    ),
    Option(
        "drain-seconds",
        NumberKind(0, 3600, "s"),
        "30",
        "Time after SIGTERM in which new requests are still accepted.",
    ),
    USAGE_WINDOW_SECONDS,
    LOG_LEVEL,
    STATSD,
    *CALLER_TLS_OPTIONS,
    *FLEET_TLS_OPTIONS,
)
