"""A stand-in for a model engine or a plain service, with faults on request.

Run it as ``python -m tests.lib.engine --port 6001``. It serves the OpenAI interface with tokens
derived from the request, and any other path as a plain service that counts its runs.
"""

import argparse
import hashlib
import json
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from tests.lib.http_stub import StubHandler, StubServer, serve

DEFAULT_TOKENS = 16
#: Never set: waiting on it with a timeout is a sleep.
_NEVER = threading.Event()
_WORDS = ("order", "north", "plan", "Graz", "eleven", "ready", "über", "list", "next", "done")


@dataclass
class EngineState:
    """Switches and counts of the stand-in.

    :ivar token_ms: time per token while at most ``slots`` requests run, milliseconds.
    :ivar first_ms: time to the first token under the same condition, milliseconds.
    :ivar slots: requests that run at full speed; with more of them, all slow down in proportion.
    :ivar slow: factor on both times.
    :ivar cut_after: tokens after which the connection is closed; negative for never.
    :ivar omit_bytes: bytes left out at the end of a stream's last event.
    :ivar cut_head: bytes of a response's head after which the connection is closed; negative for
        never.
    :ivar until_close: responses have neither a length nor chunks and end with the connection.
    :ivar status: of the responses to plain calls.
    :ivar hang: runs are suspended while it is set.
    :ivar cancelled: runs whose client disconnected.
    :ivar journal: an entry for each run.
    """

    token_ms: float = 2.0
    first_ms: float = 5.0
    slots: int = 8
    slow: float = 1.0
    cut_after: int = -1
    omit_bytes: int = 0
    cut_head: int = -1
    until_close: bool = False
    status: int = 200
    hang: bool = False
    running: int = 0
    max_running: int = 0
    cancelled: int = 0
    tokens: int = 0
    journal: list[dict[str, Any]] = field(default_factory=list)
    journal_path: str = ""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def start_run(self, entry: dict[str, Any]) -> None:
        """Record the start of a run."""
        with self.lock:
            self.journal.append(entry)
            if self.journal_path:
                with open(self.journal_path, "a", encoding="utf-8") as file:
                    file.write(json.dumps(entry) + "\n")
            self.running += 1
            self.max_running = max(self.max_running, self.running)

    def end_run(self) -> None:
        """Record the end of a run."""
        with self.lock:
            self.running -= 1

    def step_s(self, base_ms: float) -> float:
        """Return the duration of a step at the current load, seconds."""
        load_factor = max(1.0, self.running / self.slots)
        return base_ms * self.slow * load_factor / 1000


def response_tokens(body: dict[str, Any]) -> list[str]:
    """Derive the tokens from the request: equal requests get equal responses."""
    count = int(body.get("max_tokens") or DEFAULT_TOKENS)
    seed = hashlib.sha256(json.dumps(body.get("messages") or body.get("prompt")).encode()).digest()
    return [f"{_WORDS[seed[index % len(seed)] % len(_WORDS)]} " for index in range(count)]


def stream_chunks(body: dict[str, Any]) -> Iterator[bytes]:
    """Create the server-sent events of a streamed response."""
    base = {"id": "cmpl-1", "object": "chat.completion.chunk", "created": 1, "model": body["model"]}
    for token in response_tokens(body):
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        yield b"data: " + json.dumps({**base, "choices": [choice]}).encode() + b"\n\n"
    last = {"index": 0, "delta": {}, "finish_reason": "stop"}
    yield b"data: " + json.dumps({**base, "choices": [last]}).encode() + b"\n\n"
    yield b"data: [DONE]\n\n"


def response_body(body: dict[str, Any]) -> bytes:
    """Create the body of a response that is not streamed."""
    message = {"role": "assistant", "content": "".join(response_tokens(body))}
    choice = {"index": 0, "message": message, "text": message["content"], "finish_reason": "stop"}
    document = {
        "id": "cmpl-1",
        "object": "chat.completion",
        "created": 1,
        "model": body["model"],
        "choices": [choice],
    }
    return json.dumps(document).encode()


class EngineHandler(StubHandler):
    """Serves one connection."""

    server: "EngineServer"

    def end_headers(self) -> None:
        """Name the request that is answered, then end the headers."""
        if request_id := self.headers.get("X-Request-Id"):
            self.send_header("X-Request-Id", request_id)
        cut_head = self.server.state.cut_head
        if cut_head < 0 or self.path.startswith("/_"):
            super().end_headers()
            return
        self.wfile.write(b"".join(self._headers_buffer)[:cut_head])  # type: ignore[attr-defined]
        self.drop_connection()
        raise BrokenPipeError("the head was cut")

    def do_GET(self) -> None:
        """Serve the journal or a plain call."""
        if self.path == "/_journal":
            self._serve_journal()
        else:
            self._serve_plain()

    def do_POST(self) -> None:
        """Serve a model call or a plain call, or set switches."""
        if self.path == "/_set":
            for name, value in json.loads(self.read_content()).items():
                setattr(self.server.state, name, value)
            self.respond_json({})
        elif self.path.startswith("/v1/"):
            self._serve_model()
        else:
            self._serve_plain()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_POST

    def _serve_journal(self) -> None:
        state = self.server.state
        with state.lock:
            document = {
                "journal": list(state.journal),
                "running": state.running,
                "max_running": state.max_running,
                "cancelled": state.cancelled,
                "tokens": state.tokens,
            }
        self.respond_json(document)

    def _journal_entry(self, content: bytes) -> dict[str, Any]:
        return {
            "method": self.command,
            "path": self.path,
            "request_id": self.headers.get("X-Request-Id"),
            "priority": self.headers.get("X-Request-Priority"),
            "content": content.decode(errors="replace")[:200],
            "at": time.monotonic(),
        }

    def _serve_plain(self) -> None:
        content = self.read_content()
        state = self.server.state
        state.start_run(self._journal_entry(content))
        try:
            self._sleep(state.first_ms)
            if state.cut_after == 0:
                self.drop_connection()
                return
            with state.lock:
                number = len(state.journal)
            document = {"path": self.path, "run": number, "got": content.decode()}
            self._respond(json.dumps(document).encode())
        finally:
            state.end_run()

    def _serve_model(self) -> None:
        content = self.read_content()
        state = self.server.state
        state.start_run(self._journal_entry(content))
        try:
            self._sleep(state.first_ms)
            body = json.loads(content)
            if body.get("stream"):
                self._send_stream(body)
            else:
                for _ in response_tokens(body):
                    self._sleep(state.token_ms)
                if state.cut_after >= 0:
                    self.drop_connection()
                    return
                self._respond(response_body(body))
        except (BrokenPipeError, ConnectionResetError):
            with state.lock:
                state.cancelled += 1
            self.close_connection = True
        finally:
            state.end_run()

    def _send_stream(self, body: dict[str, Any]) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        state = self.server.state
        if state.until_close:
            self.close_connection = True
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        chunks = list(stream_chunks(body))
        chunks[-1] = chunks[-1][: len(chunks[-1]) - state.omit_bytes]
        for number, chunk in enumerate(chunks):
            if number == state.cut_after:
                self.drop_connection()
                return
            frame = b"%s" if state.until_close else b"%x\r\n%%s\r\n" % len(chunk)
            self.wfile.write(frame % chunk)
            state.tokens += 1
            self._sleep(state.token_ms)
        if not state.until_close:
            self.wfile.write(b"0\r\n\r\n")

    def _respond(self, content: bytes) -> None:
        if not self.server.state.until_close:
            self.respond(self.server.state.status, content)
            return
        self.close_connection = True
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(content)

    def _sleep(self, base_ms: float) -> None:
        _NEVER.wait(self.server.state.step_s(base_ms))
        while self.server.state.hang:
            _NEVER.wait(0.01)


class EngineServer(StubServer):
    """The stand-in."""

    def __init__(self, port: int, state: EngineState) -> None:
        super().__init__(("127.0.0.1", port), EngineHandler)
        self.state = state


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for an engine.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--token-ms", type=float, default=2.0)
    parser.add_argument("--first-ms", type=float, default=5.0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--journal", default="")
    options = parser.parse_args()
    state = EngineState(options.token_ms, options.first_ms, options.slots)
    state.journal_path = options.journal
    if options.journal:
        open(options.journal, "a", encoding="utf-8").close()
    serve(EngineServer(options.port, state))


if __name__ == "__main__":
    main()
