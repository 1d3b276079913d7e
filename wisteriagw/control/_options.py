"""Settings of the control program."""

from __future__ import annotations

from wisteriagw.checkpoints import RETENTION_OPTIONS
from wisteriagw.settings import (
    AddressKind,
    ChoiceKind,
    FileKind,
    IntegerKind,
    NumberKind,
    Option,
    TextKind,
)

OPTIONS = (
    Option("vm", TextKind(), None, "Name of this VM in the VM list."),
    Option("data-centre", TextKind(), None, "Data centre of this VM."),
    Option(
        "listen",
        AddressKind(),
        None,
        "Control address; a process that has bound it proves that the earlier process "
        "of this VM with the same address has ended.",
    ),
    Option("log", AddressKind(), None, "Address of the platform's log."),
    Option("vm-list", AddressKind(), None, "Address of the platform's VM list."),
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
        "Port of the operators' interface on the entry VMs, which are asked for their "
        "demand. With 0 engines keep to their roles on the sheet.",
    ),
    Option(
        "operator-token-file",
        FileKind(),
        "",
        "File with the token of operators, for that interface.",
    ),
    Option(
        "poll-seconds",
        NumberKind(0.05, 2.0, "s"),
        "0.5",
        "Time between two reads of the log.",
    ),
    Option(
        "plan-seconds",
        NumberKind(0.1, 60.0, "s"),
        "2",
        "Time between two turns of the planner.",
    ),
    *RETENTION_OPTIONS,
    Option(
        "log-level",
        ChoiceKind(("debug", "info", "warning", "error")),
        "info",
        "Lowest level of the lines that are logged.",
    ),
)
