"""Settings of the entry program."""

from __future__ import annotations

from wisteriagw.settings import (
    AddressKind,
    AddressListKind,
    ChoiceKind,
    FileKind,
    IntegerKind,
    NumberKind,
    Option,
    TextKind,
)
from wisteriagw.transport import CALLER_TLS_OPTIONS, FLEET_TLS_OPTIONS

OPTIONS = (
    Option("vm", TextKind(), None, "Name of this VM in the VM list."),
    Option("data-centre", TextKind(), None, "Data centre of this VM."),
    Option("listen", AddressKind(), None, "Address for callers."),
    Option("operator-listen", AddressKind(), None, "Address for operators."),
    Option(
        "operator-token-file",
        FileKind(),
        "",
        "File with the token of operators; without it they connect by loopback only.",
    ),
    Option("log", AddressKind(), None, "Address of the platform's log."),
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
        "Time after SIGTERM in which new requests are still taken.",
    ),
    Option(
        "usage-window-seconds",
        IntegerKind(1, 3600, "s"),
        "60",
        "Length of a usage window; the same in every program.",
    ),
    Option(
        "log-level",
        ChoiceKind(("debug", "info", "warning", "error")),
        "info",
        "Lowest level of the lines that are logged.",
    ),
    Option(
        "statsd",
        AddressKind(),
        "",
        "Address of the statsd server; without it no metrics are sent.",
    ),
    *CALLER_TLS_OPTIONS,
    *FLEET_TLS_OPTIONS,
)
