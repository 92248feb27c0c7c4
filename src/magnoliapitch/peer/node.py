"""RPC node: one asyncio loop in one thread, for both directions."""

from __future__ import annotations

import asyncio
import threading

from concurrent.futures import CancelledError
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import capnp

from result import Err
from result import Ok
from result import Result

from magnoliapitch.peer import codec
from magnoliapitch.peer.message import Beat
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import LogPage
from magnoliapitch.peer.message import StateSnapshot
from magnoliapitch.supervisor.exceptions import StartError
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping

    from magnoliapitch.peer.link import PeerHandler


ValueT = TypeVar("ValueT")

START_TIMEOUT_S = 10
FORWARD_THREADS = 64


class _Server(codec.schema.Peer.Server):  # type: ignore[misc]
    def __init__(
        self, handler: PeerHandler, threads: ThreadPoolExecutor
    ) -> None:
        self._handler = handler
        self._threads = threads

    async def heartbeat(self, beat: Any, **_: Any) -> Any:
        answer = self._handler.heartbeat(codec.beat_from(beat))
        return codec.schema.Beat.new_message(**codec.beat_to_dict(answer))

    async def forward(self, request: Any, **_: Any) -> Any:
        plain = codec.request_from(request)
        loop = asyncio.get_running_loop()
        outcome = await loop.run_in_executor(
            self._threads, self._handler.forward, plain
        )
        fields = codec.answer_to_dict(plain.request_id, outcome)
        return codec.schema.Answer.new_message(**fields)

    async def readLog(  # noqa: N802
        self,
        fromOffset: int,  # noqa: N803
        limit: int,
        _context: Any,
        **_: Any,
    ) -> None:
        page = self._handler.read_log(fromOffset, limit)
        fields = codec.page_to_dict(page)
        _context.results.records = fields["records"]
        _context.results.nextOffset = fields["nextOffset"]
        _context.results.logAgeMs = fields["logAgeMs"]

    async def snapshot(self, _context: Any, **_: Any) -> None:
        loop = asyncio.get_running_loop()
        snapshot = await loop.run_in_executor(
            self._threads, self._handler.snapshot
        )
        _context.results.offset = snapshot.offset
        _context.results.digest = snapshot.digest
        _context.results.state = snapshot.state


def _heartbeat_call(beat: Beat) -> Callable[[Any], Awaitable[Beat]]:
    async def call(peer: Any) -> Beat:
        answer = await peer.heartbeat(beat=codec.beat_to_dict(beat))
        return codec.beat_from(answer.beat)

    return call


class PeerNode:
    """Serves peers and calls them.

    :param address: IP number and port to listen on; port 0 picks one.
    :ivar handler: serves calls of peers; set before the start.
    """

    name = "peer-node"

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.handler: PeerHandler | None = None
        self._threads = ThreadPoolExecutor(FORWARD_THREADS, "peer-forward")
        self._caps_by_address: dict[str, Any] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._ready = threading.Event()
        self._start_error: Exception | None = None
        self._thread: threading.Thread | None = None
        self.port = address[1]

    def start(self) -> None:
        """Bind and serve in a thread of its own.

        :raises StartError: if the address cannot be bound.
        """
        self._ready.clear()
        self._start_error = None
        self._thread = threading.Thread(
            target=self._run, name=self.name, daemon=True
        )
        self._thread.start()
        self._ready.wait(START_TIMEOUT_S)
        if self._start_error is not None:
            host, port = self._address
            reason = f"cannot listen on {host}:{port}: {self._start_error}"
            raise StartError(self.name, reason)

    def stop(self) -> None:
        """Close every connection and end the thread."""
        if self._loop is not None and self._stopping is not None:
            self._loop.call_soon_threadsafe(self._stopping.set)
        if self._thread is not None:
            self._thread.join()
        self._threads.shutdown(wait=False)

    def is_alive(self) -> bool:
        """Return whether the loop's thread runs."""
        return self._thread is not None and self._thread.is_alive()

    def heartbeat(
        self, address: str, beat: Beat, timeout_ms: int
    ) -> Result[Beat, Failure]:
        """Exchange heartbeats with a peer."""
        return self._call(address, _heartbeat_call(beat), timeout_ms)

    def heartbeat_all(
        self,
        beats_by_address: Mapping[str, Beat],
        timeout_ms: int,
        on_answer: Callable[[str, Beat], None],
    ) -> None:
        """Exchange heartbeats with many peers at once."""

        async def exchange(address: str, beat: Beat) -> None:
            outcome = await self._call_in_loop(
                address, _heartbeat_call(beat), timeout_ms
            )
            if isinstance(outcome, Ok):
                on_answer(address, outcome.ok_value)

        async def exchange_all() -> None:
            await asyncio.gather(
                *(exchange(*item) for item in beats_by_address.items())
            )

        future = self._submit(exchange_all())
        if future is not None:
            with suppress(FutureTimeoutError, CancelledError):
                future.result(2 * timeout_ms / 1000)

    def forward(
        self, address: str, request: ForwardedRequest, timeout_ms: int
    ) -> Result[ForwardedAnswer, Failure]:
        """Let a peer execute a request."""

        async def call(peer: Any) -> Result[ForwardedAnswer, Failure]:
            answer = await peer.forward(request=codec.request_to_dict(request))
            return codec.answer_from(answer.answer)

        outcome = self._call(address, call, timeout_ms)
        return outcome.and_then(lambda answer: answer)

    def read_log(
        self, address: str, from_offset: int, limit: int, timeout_ms: int
    ) -> Result[LogPage, Failure]:
        """Fetch log records through a peer."""

        async def call(peer: Any) -> LogPage:
            answer = await peer.readLog(fromOffset=from_offset, limit=limit)
            return codec.page_from(answer)

        return self._call(address, call, timeout_ms)

    def snapshot(
        self, address: str, timeout_ms: int
    ) -> Result[StateSnapshot, Failure]:
        """Fetch a peer's encoded fold."""

        async def call(peer: Any) -> StateSnapshot:
            answer = await peer.snapshot()
            return StateSnapshot(
                answer.offset, answer.digest, bytes(answer.state)
            )

        return self._call(address, call, timeout_ms)

    def _call(
        self,
        address: str,
        call: Callable[[Any], Awaitable[ValueT]],
        timeout_ms: int,
    ) -> Result[ValueT, Failure]:
        future = self._submit(self._call_in_loop(address, call, timeout_ms))
        if future is None:
            return Err(not_run(FailureCode.UNAVAILABLE, "node is stopped"))
        try:
            return future.result(2 * timeout_ms / 1000)
        except (FutureTimeoutError, CancelledError):
            future.cancel()
            return Err(may_have_run(FailureCode.TIMEOUT, "peer is silent"))

    def _submit(
        self, call: Coroutine[Any, Any, ValueT]
    ) -> Future[ValueT] | None:
        """Run a coroutine in the loop, or drop it if the loop has ended."""
        if self._loop is not None and self.is_alive():
            with suppress(RuntimeError):
                return asyncio.run_coroutine_threadsafe(call, self._loop)
        call.close()
        return None

    async def _call_in_loop(
        self,
        address: str,
        call: Callable[[Any], Awaitable[ValueT]],
        timeout_ms: int,
    ) -> Result[ValueT, Failure]:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                peer = await self._connect(address)
        except (OSError, TimeoutError, ValueError) as error:
            return Err(not_run(FailureCode.UNAVAILABLE, repr(error)))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return Ok(await call(peer))
        except (capnp.KjException, TimeoutError) as error:
            self._caps_by_address.pop(address, None)
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except ValueError as error:
            return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))

    async def _connect(self, address: str) -> Any:
        peer = self._caps_by_address.get(address)
        if peer is None:
            host, _, port = address.rpartition(":")
            stream = await capnp.AsyncIoStream.create_connection(
                host, int(port)
            )
            client = capnp.TwoPartyClient(stream)
            peer = client.bootstrap().cast_as(codec.schema.Peer)
            self._caps_by_address[address] = peer
        return peer

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except (OSError, capnp.KjException) as error:
            self._start_error = error
            self._ready.set()

    async def _serve(self) -> None:
        async with capnp.kj_loop():
            self._loop = asyncio.get_running_loop()
            self._stopping = asyncio.Event()
            server = await capnp.AsyncIoStream.create_server(
                self._accept, *self._address
            )
            self.port = server.sockets[0].getsockname()[1]
            serving = asyncio.create_task(server.serve_forever())
            self._ready.set()
            await self._stopping.wait()
            serving.cancel()
            server.close()
            self._caps_by_address.clear()

    async def _accept(self, stream: Any) -> None:
        assert self.handler is not None
        bootstrap = _Server(self.handler, self._threads)
        await capnp.TwoPartyServer(stream, bootstrap=bootstrap).on_disconnect()
