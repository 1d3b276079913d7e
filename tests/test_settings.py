"""Tests of the settings."""

from __future__ import annotations

from wisteriagw.settings import (
    AddressKind,
    IntegerKind,
    Option,
    TextKind,
    check_settings,
)

OPTIONS = (
    Option("vm", TextKind(), None, "Name."),
    Option("listen", AddressKind(), None, "Address."),
    Option("retention", IntegerKind(10, 100, "records"), "50", "Records."),
)


class TestCheckSettings:
    """Guards against a start with settings that are wrong or only partly checked."""

    def test_reports_every_fault_with_its_place(self) -> None:
        texts = {"vm": None, "listen": "localhost:80", "retention": "7"}
        _, findings = check_settings(OPTIONS, texts)
        places = [finding.place.split()[0] for finding in findings]
        assert places == ["--vm", "--listen", "--retention"]

    def test_parses_values_and_fills_defaults(self) -> None:
        texts = {"vm": "vm-1", "listen": "[::1]:8080", "retention": None}
        values, findings = check_settings(OPTIONS, texts)
        assert findings == []
        assert values == {"vm": "vm-1", "listen": ("::1", 8080), "retention": 50}

    def test_refuses_host_names(self) -> None:
        # A host name would need a resolver that blocks the event loop.
        _, findings = check_settings(OPTIONS, {"vm": "a", "listen": "example:80"})
        assert "not an IP address" in findings[0].message
