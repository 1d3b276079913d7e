"""HTTP client and server parts on twisted.web."""

from __future__ import annotations

from wisteriagw.http._bounded_request import BoundedRequest
from wisteriagw.http._http_client import HttpClient
from wisteriagw.http._json_body import read_json_object
from wisteriagw.http._replies import write_error, write_json

__all__ = [
    "BoundedRequest",
    "HttpClient",
    "read_json_object",
    "write_error",
    "write_json",
]
