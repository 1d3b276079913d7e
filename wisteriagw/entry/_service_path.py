"""Path of a plain service call."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import unquote

PREFIX = "/v1/services/"
PRINTABLE = frozenset(chr(code) for code in range(0x21, 0x7F))


class ServicePath(NamedTuple):
    """The service, the path for matching routes, and the raw target."""

    service: str
    path: str
    target: str


def parse_service_path(uri: bytes) -> ServicePath:
    """Return the parts of a request target, or raise ValueError.

    Empty and dot segments are refused in every encoding: a service that normalizes them
    would run a call of another route than the one whose rules were applied.
    """
    text = uri.decode("latin-1")
    if not PRINTABLE.issuperset(text) or not text.startswith(PREFIX):
        raise ValueError("the path contains characters that are not allowed")
    service, separator, rest = text.removeprefix(PREFIX).partition("/")
    raw_path, _, _ = rest.partition("?")
    path = unquote(raw_path)
    segments = path.split("/")
    inner = segments[:-1] if segments[-1] == "" else segments
    if any(segment in ("", ".", "..") for segment in inner) or "\\" in path:
        raise ValueError("the path contains empty or dot segments")
    if "%2f" in raw_path.lower() or "%25" in raw_path:
        raise ValueError("the path contains an encoded slash or percent sign")
    return ServicePath(service, "/" + path, separator + rest if separator else "/")
