"""HTTP plumbing shared by every listener and client."""

from __future__ import annotations

from magnoliapitch.http.application import Application
from magnoliapitch.http.listener import Listener
from magnoliapitch.http.message import HttpRequest
from magnoliapitch.http.message import HttpResponse
from magnoliapitch.http.message import json_response
from magnoliapitch.http.problem import problem_response


__all__ = [
    "Application",
    "HttpRequest",
    "HttpResponse",
    "Listener",
    "json_response",
    "problem_response",
]
