"""A TCP relay between two processes whose connections can be cut or silenced."""

import contextlib
import socket
import threading


class CuttableProxy:
    """Relays connections to a port on loopback.

    A silenced connection stays open and carries nothing any more, while new ones work: as when
    something between the two ends has lost track of it.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._silenced: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._partitioned = False
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Break all connections off; new ones work."""
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def silence(self) -> None:
        """Let all present connections carry nothing any more; new ones work."""
        with self._lock:
            self._silenced.update(sock for pair in self._pairs for sock in pair)
            self._pairs = []

    def partition(self, partitioned: bool) -> None:
        """Silence present and new connections, or let new ones work again."""
        self._partitioned = partitioned
        self.silence()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.socket()
            try:
                far.connect(("127.0.0.1", self._target_port))
            except OSError:
                near.close()
                continue
            with self._lock:
                if self._partitioned:
                    self._silenced.update((near, far))
                else:
                    self._pairs.append((near, far))
            for source, target in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pump, args=(source, target), daemon=True).start()

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(65536):
                if source not in self._silenced:
                    target.sendall(content)
            if source not in self._silenced:
                target.shutdown(socket.SHUT_RDWR)
