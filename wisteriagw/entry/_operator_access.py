"""Access control of the operators' interface."""

from __future__ import annotations

import hmac
import ipaddress
import pathlib
from typing import TYPE_CHECKING, Any

from wisteriagw.entry._authentication import read_bearer_token
from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from twisted.web.server import Request

MIN_TOKEN_CHARACTERS = 16


def load_operator_token(settings: dict[str, Any]) -> tuple[str, list[Finding]]:
    """Return the operator token, empty without one, and the findings."""
    if not {"operator-token-file", "operator-listen"} <= settings.keys():
        # The missing setting has its own finding.
        return "", []
    path = settings["operator-token-file"]
    if path is None:
        host = settings["operator-listen"][0]
        if ipaddress.ip_address(host).is_loopback:
            return "", []
        message = f"{host} is not a loopback address and no operator token is given"
        return "", [Finding("--operator-listen", message)]
    setting = "--operator-token-file"
    try:
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return "", [Finding(setting, str(error))]
    if len(token) < MIN_TOKEN_CHARACTERS:
        message = f"the token has under {MIN_TOKEN_CHARACTERS} characters"
        return "", [Finding(setting, message)]
    return token, []


def is_operator(request: Request, token: str) -> bool:
    """Return whether a request has the operator token, or none is required."""
    given = read_bearer_token(request).encode("utf-8")
    return not token or hmac.compare_digest(given, token.encode("utf-8"))
