"""Who may reach the operators' interface."""

from __future__ import annotations

import ipaddress
import pathlib
from typing import Any

from wisteriagw.findings import Finding

MIN_TOKEN_CHARACTERS = 16


def load_operator_token(settings: dict[str, Any]) -> tuple[str, list[Finding]]:
    """Return the token of the operators, empty without one, and the findings."""
    path = settings["operator-token-file"]
    if path is None:
        host = settings["operator-listen"][0]
        if ipaddress.ip_address(host).is_loopback:
            return "", []
        message = f"{host} is not a loopback address and no operator token is given"
        return "", [Finding("--operator-listen", message)]
    place = "--operator-token-file"
    try:
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return "", [Finding(place, str(error))]
    if len(token) < MIN_TOKEN_CHARACTERS:
        message = f"the token has under {MIN_TOKEN_CHARACTERS} characters"
        return "", [Finding(place, message)]
    return token, []
