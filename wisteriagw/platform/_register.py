"""Decoding of the entries that backend servers write of themselves."""

from __future__ import annotations

import json

from wisteriagw.findings import Finding
from wisteriagw.fleet import BackendServer
from wisteriagw.platform._settings_file import parse_address

STATES = ("ready", "draining")
STAGES = ("", "prefill", "decode")


def decode_entry(name: str, data: bytes) -> BackendServer | Finding:
    """Return the backend server of an entry, or why it names none.

    Other writers than backend servers leave entries too, so each field is checked.
    """
    place = f"entry of backend server {name}"
    try:
        fields = json.loads(data)
    except ValueError as error:
        return Finding(place, f"cannot be read: {error}")
    if not isinstance(fields, dict):
        return Finding(place, "is not an object")
    for field, kind in (("service", str), ("zone", str), ("state", str)):
        if not isinstance(fields.get(field), kind) or not fields[field]:
            return Finding(place, f"lacks the field {field!r}")
    address = parse_address(fields.get("address"))
    if address is None:
        return Finding(place, "has no address")
    stage = fields.get("stage", "")
    if fields["state"] not in STATES or stage not in STAGES:
        return Finding(place, "has an unknown state")
    slots = fields.get("slots", 1)
    born = fields.get("born", 0)
    if type(slots) is not int or slots < 1 or type(born) is not int:
        return Finding(place, "has a field of another type")
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
