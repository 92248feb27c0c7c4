"""RPC server and client of an entry instance, in one asyncio thread."""

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
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.peer.message import ForwardedRequest
from magnoliapitch.peer.message import Heartbeat
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
MAX_FORWARD_THREADS = 64


class _Server(codec.schema.Peer.Server):  # type: ignore[misc]
    def __init__(
        self, handler: PeerHandler, executor: ThreadPoolExecutor
    ) -> None:
        self._handler = handler
        self._executor = executor

    async def heartbeat(self, beat: Any, **_: Any) -> Any:
        answer = self._handler.heartbeat(codec.heartbeat_from(beat))
        return codec.schema.Beat.new_message(**codec.heartbeat_to_dict(answer))

    async def forward(self, request: Any, **_: Any) -> Any:
        forwarded = codec.request_from(request)
        loop = asyncio.get_running_loop()
        outcome = await loop.run_in_executor(
            self._executor, self._handler.forward, forwarded
        )
        fields = codec.answer_to_dict(forwarded.request_id, outcome)
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
            self._executor, self._handler.snapshot
        )
        _context.results.offset = snapshot.offset
        _context.results.digest = snapshot.digest
        _context.results.state = snapshot.state


def _heartbeat_call(
    heartbeat: Heartbeat,
) -> Callable[[Any], Awaitable[Heartbeat]]:
    async def call(peer: Any) -> Heartbeat:
        answer = await peer.heartbeat(beat=codec.heartbeat_to_dict(heartbeat))
        return codec.heartbeat_from(answer.beat)

    return call


class PeerNode:
    """Serves calls from peers and makes calls to them.

    :param address: IP address and port to listen on; port 0 selects a
        free one.
    :ivar handler: handles calls from peers; must be set before the start.
    :ivar port: port on which the node listens once it has started.
    """

    name = "peer-node"

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.handler: PeerHandler | None = None
        self._executor = ThreadPoolExecutor(
            MAX_FORWARD_THREADS, "peer-forward"
        )
        self._peers_by_address: dict[str, Any] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stop_event: asyncio.Event | None = None
        self._started = threading.Event()
        self._start_error: Exception | None = None
        self._thread: threading.Thread | None = None
        self.port = address[1]

    def start(self) -> None:
        """Listen and serve in a separate thread.

        :raises StartError: if listening on the address fails.
        """
        self._started.clear()
        self._start_error = None
        self._thread = threading.Thread(
            target=self._run, name=self.name, daemon=True
        )
        self._thread.start()
        self._started.wait(START_TIMEOUT_S)
        if self._start_error is not None:
            host, port = self._address
            reason = f"cannot listen on {host}:{port}: {self._start_error}"
            raise StartError(self.name, reason)

    def stop(self) -> None:
        """Stop listening, drop all connections and wait for the thread."""
        if self._loop is not None and self._stop_event is not None:
            self._loop.call_soon_threadsafe(self._stop_event.set)
        if self._thread is not None:
            self._thread.join()
        self._executor.shutdown(wait=False)

    def is_alive(self) -> bool:
        """Return whether the event loop thread is running."""
        return self._thread is not None and self._thread.is_alive()

    def heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_ms: int
    ) -> Result[Heartbeat, Failure]:
        """Send a heartbeat and return the peer's."""
        return self._call(address, _heartbeat_call(heartbeat), timeout_ms)

    def heartbeat_all(
        self,
        heartbeats_by_address: Mapping[str, Heartbeat],
        timeout_ms: int,
        on_answer: Callable[[str, Heartbeat], None],
    ) -> None:
        """Send heartbeats to many peers concurrently."""

        async def exchange(address: str, heartbeat: Heartbeat) -> None:
            outcome = await self._call_in_loop(
                address, _heartbeat_call(heartbeat), timeout_ms
            )
            if isinstance(outcome, Ok):
                on_answer(address, outcome.ok_value)

        async def exchange_all() -> None:
            await asyncio.gather(
                *(exchange(*item) for item in heartbeats_by_address.items())
            )

        future = self._submit(exchange_all())
        if future is not None:
            with suppress(FutureTimeoutError, CancelledError):
                future.result(2 * timeout_ms / 1000)

    def forward(
        self, address: str, request: ForwardedRequest, timeout_ms: int
    ) -> Result[ForwardedAnswer, Failure]:
        """Have a peer execute a request."""

        async def call(peer: Any) -> Result[ForwardedAnswer, Failure]:
            answer = await peer.forward(request=codec.request_to_dict(request))
            return codec.answer_from(answer.answer)

        outcome = self._call(address, call, timeout_ms)
        return outcome.and_then(lambda answer: answer)

    def read_log(
        self, address: str, from_offset: int, limit: int, timeout_ms: int
    ) -> Result[LogPage, Failure]:
        """Fetch log records from a peer."""

        async def call(peer: Any) -> LogPage:
            answer = await peer.readLog(fromOffset=from_offset, limit=limit)
            return codec.page_from(answer)

        return self._call(address, call, timeout_ms)

    def snapshot(
        self, address: str, timeout_ms: int
    ) -> Result[StateSnapshot, Failure]:
        """Fetch the encoded replicated state of a peer."""

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
            return Err(
                not_run(
                    FailureCode.UNAVAILABLE,
                    "the RPC node of this instance is stopped",
                )
            )
        # The timeout applies to connecting and to the call separately.
        try:
            return future.result(2 * timeout_ms / 1000)
        except (FutureTimeoutError, CancelledError):
            future.cancel()
            return Err(
                may_have_run(
                    FailureCode.TIMEOUT,
                    f"peer {address} did not answer in time",
                )
            )

    def _submit(
        self, call: Coroutine[Any, Any, ValueT]
    ) -> Future[ValueT] | None:
        """Run a coroutine in the event loop.

        :return: None if the loop has ended; the coroutine is then closed.
        """
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
            self._peers_by_address.pop(address, None)
            return Err(may_have_run(FailureCode.TIMEOUT, str(error)))
        except ValueError as error:
            return Err(may_have_run(FailureCode.BAD_RESPONSE, str(error)))

    async def _connect(self, address: str) -> Any:
        peer = self._peers_by_address.get(address)
        if peer is None:
            host, _, port = address.rpartition(":")
            stream = await capnp.AsyncIoStream.create_connection(
                host, int(port)
            )
            client = capnp.TwoPartyClient(stream)
            peer = client.bootstrap().cast_as(codec.schema.Peer)
            self._peers_by_address[address] = peer
        return peer

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except (OSError, capnp.KjException) as error:
            self._start_error = error
            self._started.set()

    async def _serve(self) -> None:
        async with capnp.kj_loop():
            self._loop = asyncio.get_running_loop()
            self._stop_event = asyncio.Event()
            server = await capnp.AsyncIoStream.create_server(
                self._accept, *self._address
            )
            self.port = server.sockets[0].getsockname()[1]
            serving = asyncio.create_task(server.serve_forever())
            self._started.set()
            await self._stop_event.wait()
            serving.cancel()
            server.close()
            self._peers_by_address.clear()

    async def _accept(self, stream: Any) -> None:
        assert self.handler is not None
        bootstrap = _Server(self.handler, self._executor)
        await capnp.TwoPartyServer(stream, bootstrap=bootstrap).on_disconnect()
