"""Decoding of the register entries that backend servers write."""

from __future__ import annotations

import re

from wisteriagw.findings import Finding
from wisteriagw.fleet import BackendServer
from wisteriagw.jsondata import is_plain, load_json
from wisteriagw.platform._settings_file import parse_address

STATES = ("ready", "draining")
STAGES = ("", "prefill", "decode")
# Requests name the server in a header.
NAME = re.compile(r"[!-~]+")


def decode_entry(name: str, data: bytes) -> BackendServer | Finding:
    """Decode a backend server from its entry, or return why the entry is invalid.

    Each field is checked, because other writers leave entries in the register too.
    """
    place = f"entry of backend server {name}"
    if not NAME.fullmatch(name):
        return Finding(place, "is not under a valid name")
    try:
        fields = load_json(data)
    except ValueError as error:
        return Finding(place, f"is not JSON: {error}")
    if not isinstance(fields, dict):
        return Finding(place, "is not a JSON object")
    for field in ("service", "zone", "state"):
        if not is_plain(fields.get(field), (str,)) or not fields[field]:
            return Finding(place, f"has no valid field {field!r}")
    address = parse_address(fields.get("address"))
    if address is None:
        return Finding(place, "has no valid address")
    stage = fields.get("stage", "")
    if (
        fields["state"] not in STATES
        or not is_plain(stage, (str,))
        or (stage not in STAGES)
    ):
        return Finding(place, "has an unknown state or stage")
    slots = fields.get("slots", 1)
    born = fields.get("born", 0)
    if not is_plain(slots, (int,)) or slots < 1 or not is_plain(born, (int,)):
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
