from __future__ import annotations

import pytest
import urllib3

from magnoliapitch.http import Application
from magnoliapitch.http import HttpRequest
from magnoliapitch.http import HttpResponse
from magnoliapitch.http import Listener
from magnoliapitch.http import json_response
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.supervisor import StartError


def make_listener(port: int = 0) -> Listener:
    application = Application()

    @application.route("GET", "/")
    def show(request: HttpRequest) -> HttpResponse:
        return json_response({})

    return Listener("callers", ("127.0.0.1", port), application, 2)


def status_of(listener: Listener) -> int:
    url = f"http://127.0.0.1:{listener.port}/"
    return urllib3.request("GET", url, timeout=10).status


def test_listener_restarts_on_the_same_port_after_a_failure() -> None:
    listener = make_listener()
    listener.start()
    port = listener.port
    listener._server.interrupt = RuntimeError("worker thread died")
    assert listener._thread is not None
    listener._thread.join(10)
    assert not listener.is_alive()
    listener.start()
    assert (status_of(listener), listener.port) == (200, port)
    listener.stop()
    listener.stop()


def test_listener_error_names_the_port_that_is_in_use() -> None:
    first = make_listener()
    first.start()
    expected = f"callers: cannot listen on 127.0.0.1:{first.port}: "
    with pytest.raises(StartError, match=expected) as caught:
        make_listener(first.port).start()
    assert "Address already in use" in str(caught.value)
    with pytest.raises(StartError, match="peer-node: cannot listen on"):
        PeerNode(("127.0.0.1", first.port)).start()
    first.stop()
