"""HTTP server and client code shared by every listener and caller."""

from __future__ import annotations

from magnoliapitch.http.application import Application
from magnoliapitch.http.large_bodies import LargeBodies
from magnoliapitch.http.limits import HttpLimits
from magnoliapitch.http.listener import Listener
from magnoliapitch.http.message import HttpRequest
from magnoliapitch.http.message import HttpResponse
from magnoliapitch.http.message import json_response
from magnoliapitch.http.problem import problem_response
from magnoliapitch.http.request_id import REQUEST_ID_HEADER


__all__ = [
    "Application",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "LargeBodies",
    "Listener",
    "REQUEST_ID_HEADER",
    "json_response",
    "problem_response",
]
