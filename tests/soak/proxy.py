"""Loopback proxies that copy bytes and can hold, drop or reset them."""

from __future__ import annotations

import asyncio
import threading

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    import random

    from collections.abc import Coroutine


LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 1 << 16
POLL_S = 0.02


class _Connection:
    """Both streams of a connection.

    :ivar is_mute: whether what the server sends is dropped for good.
    """

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.is_mute = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Proxy in front of one server; faults are set from any thread.

    :ivar delay_s: added to each piece in each direction.
    :ivar holds_requests: hold back what clients send, and deliver it later.
    :ivar holds_answers: the same for what the server sends.
    """

    def __init__(self, network: Network, target: tuple[str, int]) -> None:
        self.delay_s = 0.0
        self.holds_requests = False
        self.holds_answers = False
        self._network = network
        self._target = target
        self._connections: set[_Connection] = set()
        server = network.run(
            asyncio.start_server(self._serve, LOOPBACK, 0, backlog=200)
        )
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def reset(self, draw: random.Random, share: float = 1.0) -> None:
        """Reset a share of the open connections."""
        for connection in self._choose(draw, share):
            self._network.call(connection.abort)

    def mute(self, draw: random.Random, share: float) -> None:
        """Drop all further answers on a share of the open connections."""
        for connection in self._choose(draw, share):
            connection.is_mute = True

    def _choose(self, draw: random.Random, share: float) -> list[_Connection]:
        return [
            connection
            for connection in list(self._connections)
            if draw.random() < share
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, other[1])
        self._connections.add(connection)
        await asyncio.gather(
            self._copy(reader, other[1], connection, is_request=True),
            self._copy(other[0], writer, connection, is_request=False),
        )
        self._connections.discard(connection)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        is_request: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._pass(is_request)
                if is_request or not connection.is_mute:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            await self._pass(is_request)
            writer.close()

    async def _pass(self, is_request: bool) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.holds_requests if is_request else self.holds_answers:
            await asyncio.sleep(POLL_S)


class Network:
    """Thread that runs all proxies."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def call(self, function: Any) -> None:
        self._loop.call_soon_threadsafe(function)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
