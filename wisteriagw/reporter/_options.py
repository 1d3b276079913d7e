"""Settings of the usage reporter."""

from __future__ import annotations

from wisteriagw.checkpoints import RETENTION_OPTIONS
from wisteriagw.settings import (
    AddressKind,
    ChoiceKind,
    IntegerKind,
    NumberKind,
    Option,
    TextKind,
)

OPTIONS = (
    Option("vm", TextKind(), None, "Name of this VM in the VM list."),
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
    Option(
        "usage-window-seconds",
        IntegerKind(1, 3600, "s"),
        "60",
        "Length of a usage window; the same in every program.",
    ),
    Option(
        "usage-grace-seconds",
        NumberKind(1.0, 600.0, "s"),
        "10",
        "Time after the end of a window until it is closed.",
    ),
    Option(
        "poll-seconds",
        NumberKind(0.05, 2.0, "s"),
        "0.5",
        "Time between two turns of the program.",
    ),
    *RETENTION_OPTIONS,
    Option(
        "log-level",
        ChoiceKind(("debug", "info", "warning", "error")),
        "info",
        "Lowest level of the lines that are logged.",
    ),
)
