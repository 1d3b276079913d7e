"""Settings shared by several programs."""

from __future__ import annotations

from wisteriagw.settings._address_kind import AddressKind
from wisteriagw.settings._choice_kind import ChoiceKind
from wisteriagw.settings._integer_kind import IntegerKind
from wisteriagw.settings._number_kind import NumberKind
from wisteriagw.settings._option import Option
from wisteriagw.settings._text_kind import TextKind

VM = Option("vm", TextKind(), None, "Name of this VM in the VM list.")
DATA_CENTRE = Option("data-centre", TextKind(), None, "Data centre of this VM.")
LOG = Option("log", AddressKind(), None, "Address of the platform's log.")
VM_LIST = Option("vm-list", AddressKind(), None, "Address of the platform's VM list.")
LEASE_LISTEN = Option(
    "listen",
    AddressKind(),
    None,
    "Control address; a process that binds it proves that the earlier process of "
    "this VM with the same address has ended.",
)
POLL_SECONDS = Option(
    "poll-seconds",
    NumberKind(0.05, 2.0, "s"),
    "0.5",
    "Interval between two reads of the log.",
)
USAGE_WINDOW_SECONDS = Option(
    "usage-window-seconds",
    IntegerKind(1, 3600, "s"),
    "60",
    "Length of a usage window; the same in every program.",
)
STATSD = Option(
    "statsd",
    AddressKind(),
    "",
    "Address of the statsd server; without it no metrics are sent.",
)
LOG_LEVEL = Option(
    "log-level",
    ChoiceKind(("debug", "info", "warning", "error")),
    "info",
    "Lowest level of log lines that are written.",
)
