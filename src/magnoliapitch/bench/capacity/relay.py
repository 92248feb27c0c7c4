"""TCP relay that counts the bytes of the connections through it."""

from __future__ import annotations

import socket
import threading


CHUNK_BYTES = 65_536


class CountingRelay:
    """Forwards connections to a loopback port and counts their bytes.

    :param target_port: loopback port to which connections are forwarded.
    :param port: loopback port to listen on; 0 for any free one.
    :ivar total_bytes: bytes forwarded in both directions.
    :ivar port: port that the relay listens on.
    """

    def __init__(self, target_port: int, port: int = 0) -> None:
        self.total_bytes = 0
        self._target = ("127.0.0.1", target_port)
        self._lock = threading.Lock()
        self._server = socket.create_server(("127.0.0.1", port))
        self.port = int(self._server.getsockname()[1])

    def start(self) -> None:
        """Accept connections in a background thread."""
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections; open ones stay open."""
        self._server.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            target = socket.create_connection(self._target)
            for source, sink in ((client, target), (target, client)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                with self._lock:
                    self.total_bytes += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()
