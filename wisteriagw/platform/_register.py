"""Decoding of the register entries that backend servers write."""

from __future__ import annotations

import json

from wisteriagw.findings import Finding
from wisteriagw.fleet import BackendServer
from wisteriagw.platform._settings_file import parse_address

STATES = ("ready", "draining")
STAGES = ("", "prefill", "decode")


def decode_entry(name: str, data: bytes) -> BackendServer | Finding:
    """Decode a backend server from its entry, or return why the entry is invalid.

    Each field is checked, because other writers leave entries in the register too.
    """
    place = f"entry of backend server {name}"
    try:
        fields = json.loads(data)
    except ValueError as error:
        return Finding(place, f"is not JSON: {error}")
    if not isinstance(fields, dict):
        return Finding(place, "is not a JSON object")
    for field, kind in (("service", str), ("zone", str), ("state", str)):
        if not isinstance(fields.get(field), kind) or not fields[field]:
            return Finding(place, f"has no valid field {field!r}")
    address = parse_address(fields.get("address"))
    if address is None:
        return Finding(place, "has no valid address")
    stage = fields.get("stage", "")
    if fields["state"] not in STATES or stage not in STAGES:
        return Finding(place, "has an unknown state or stage")
    slots = fields.get("slots", 1)
    born = fields.get("born", 0)
    if type(slots) is not int or slots < 1 or type(born) is not int:
        return Finding(place, "has an invalid slots or born field")
    return BackendServer(
        name=name,
        service=fields["service"],
        address=address,
        data_centre=fields["zone"],
        slots=slots,
        leaving=fields["state"] == "draining",
        stage=stage,
        born=born,
        reclaimable=fields.get("spot") is True,
        changing=fields.get("busy") is True,
    )
