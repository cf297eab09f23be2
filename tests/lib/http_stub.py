"""Base classes of the HTTP stand-ins."""

import json
import socket
import threading
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class StubServer(ThreadingHTTPServer):
    """A threading server that accepts bursts of connections and stops without waiting for them."""

    request_queue_size = 512
    daemon_threads = True
    block_on_close = False

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of closed connections."""


class StubHandler(BaseHTTPRequestHandler):
    """Reads requests and sends JSON responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""

    def read_content(self) -> bytes:
        """Read the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def query(self) -> Mapping[str, str]:
        """Parse the query string."""
        return {name: values[0] for name, values in parse_qs(urlsplit(self.path).query).items()}

    def respond(self, status: int, content: bytes, content_type: str = "application/json") -> None:
        """Send a complete response."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(content)

    def respond_json(self, document: Any, status: int = 200) -> None:
        """Send a complete JSON response."""
        self.respond(status, json.dumps(document).encode())

    def drop_connection(self) -> None:
        """Close the connection, even in the middle of a response."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)


def serve(server: StubServer) -> None:
    """Serve until the process is killed."""
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Event().wait()
