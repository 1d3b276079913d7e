"""HTTP client and server parts on twisted.web."""

from __future__ import annotations

from wisteriagw.http._body_collector import BodyCollector
from wisteriagw.http._bounded_request import MAX_BODY_BYTES, BoundedRequest
from wisteriagw.http._http_client import HttpClient, classify_failure
from wisteriagw.http._json_body import read_json_object
from wisteriagw.http._path_resource import PathResource
from wisteriagw.http._refusal import read_refusal
from wisteriagw.http._replies import write_error, write_json

__all__ = [
    "MAX_BODY_BYTES",
    "PathResource",
    "BodyCollector",
    "BoundedRequest",
    "HttpClient",
    "classify_failure",
    "read_json_object",
    "read_refusal",
    "write_error",
    "write_json",
]
