"""A stand-in for a model engine or a plain service, with faults on request.

Run it as ``python -m tests.lib.engine --port 6001``. It answers the OpenAI interface with
tokens derived from the request, and any other path as a plain service that counts its runs.
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
#: Never set; waiting on it paces the stand-in.
PAUSE = threading.Event()
_WORDS = ("order", "north", "plan", "Graz", "eleven", "ready", "über", "list", "next", "done")


@dataclass
class EngineState:
    """What the stand-in is set to and what it has seen.

    :ivar token_ms: time for each token when the engine is not crowded, milliseconds.
    :ivar first_ms: time to the first token, milliseconds.
    :ivar slots: requests batched at full speed; more of them share the speed.
    :ivar slow: factor on all times.
    :ivar cut_after: tokens after which answers break off; negative for never.
    :ivar hang: requests wait for this to be cleared before they are answered.
    """

    token_ms: float = 2.0
    first_ms: float = 5.0
    slots: int = 8
    slow: float = 1.0
    cut_after: int = -1
    hang: bool = False
    running: int = 0
    most_running: int = 0
    cancelled: int = 0
    tokens: int = 0
    journal: list[dict[str, Any]] = field(default_factory=list)
    journal_path: str = ""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def enter(self, entry: dict[str, Any]) -> None:
        """Note that a request runs."""
        with self.lock:
            self.journal.append(entry)
            if self.journal_path:
                with open(self.journal_path, "a", encoding="utf-8") as file:
                    file.write(json.dumps(entry) + "\n")
            self.running += 1
            self.most_running = max(self.most_running, self.running)

    def leave(self) -> None:
        """Note that a request has ended."""
        with self.lock:
            self.running -= 1

    def pace_s(self, base_ms: float) -> float:
        """Find the time for a step in the present crowd, seconds."""
        crowd = max(1.0, self.running / self.slots)
        return base_ms * self.slow * crowd / 1000


def tokens_of(body: dict[str, Any]) -> list[str]:
    """Derive the answer's tokens from the request: equal requests get equal answers."""
    count = int(body.get("max_tokens") or DEFAULT_TOKENS)
    seed = hashlib.sha256(json.dumps(body.get("messages") or body.get("prompt")).encode()).digest()
    return [f"{_WORDS[seed[index % len(seed)] % len(_WORDS)]} " for index in range(count)]


def stream_chunks(body: dict[str, Any]) -> Iterator[bytes]:
    """Make the server-sent events of a streamed answer."""
    base = {"id": "cmpl-1", "object": "chat.completion.chunk", "created": 1, "model": body["model"]}
    for token in tokens_of(body):
        choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
        yield b"data: " + json.dumps({**base, "choices": [choice]}).encode() + b"\n\n"
    last = {"index": 0, "delta": {}, "finish_reason": "stop"}
    yield b"data: " + json.dumps({**base, "choices": [last]}).encode() + b"\n\n"
    yield b"data: [DONE]\n\n"


def whole_answer(body: dict[str, Any]) -> bytes:
    """Make an answer that is not streamed."""
    message = {"role": "assistant", "content": "".join(tokens_of(body))}
    choice = {"index": 0, "message": message, "text": message["content"], "finish_reason": "stop"}
    answer = {
        "id": "cmpl-1",
        "object": "chat.completion",
        "created": 1,
        "model": body["model"],
        "choices": [choice],
    }
    return json.dumps(answer).encode()


class EngineHandler(StubHandler):
    """Serves one connection."""

    server: "EngineServer"

    def do_GET(self) -> None:
        """Serve a journal read or a plain call."""
        if self.path == "/_journal":
            self._answer_journal()
        else:
            self._plain()

    def do_POST(self) -> None:
        """Serve a model call, a plain call or a change of the stand-in's settings."""
        if self.path == "/_set":
            for name, value in json.loads(self.read_content()).items():
                setattr(self.server.state, name, value)
            self.answer_json({})
        elif self.path.startswith("/v1/"):
            self._model()
        else:
            self._plain()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_POST

    def _answer_journal(self) -> None:
        state = self.server.state
        with state.lock:
            document = {
                "journal": list(state.journal),
                "running": state.running,
                "most_running": state.most_running,
                "cancelled": state.cancelled,
                "tokens": state.tokens,
            }
        self.answer_json(document)

    def _note(self, content: bytes) -> dict[str, Any]:
        return {
            "method": self.command,
            "path": self.path,
            "request_id": self.headers.get("X-Request-Id"),
            "priority": self.headers.get("X-Request-Priority"),
            "content": content.decode(errors="replace")[:200],
            "at": time.monotonic(),
        }

    def _plain(self) -> None:
        content = self.read_content()
        state = self.server.state
        state.enter(self._note(content))
        try:
            self._wait(state.first_ms)
            if state.cut_after == 0:
                self.cut()
                return
            with state.lock:
                number = len(state.journal)
            self.answer_json({"path": self.path, "run": number, "got": content.decode()})
        finally:
            state.leave()

    def _model(self) -> None:
        content = self.read_content()
        state = self.server.state
        state.enter(self._note(content))
        try:
            self._wait(state.first_ms)
            body = json.loads(content)
            if body.get("stream"):
                self._stream(body)
            else:
                for _ in tokens_of(body):
                    self._wait(state.token_ms)
                if state.cut_after >= 0:
                    self.cut()
                    return
                self.answer(200, whole_answer(body))
        except (BrokenPipeError, ConnectionResetError):
            with state.lock:
                state.cancelled += 1
            self.close_connection = True
        finally:
            state.leave()

    def _stream(self, body: dict[str, Any]) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        state = self.server.state
        for number, chunk in enumerate(stream_chunks(body)):
            if number == state.cut_after:
                self.cut()
                return
            self.wfile.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            state.tokens += 1
            self._wait(state.token_ms)
        self.wfile.write(b"0\r\n\r\n")

    def _wait(self, base_ms: float) -> None:
        PAUSE.wait(self.server.state.pace_s(base_ms))
        while self.server.state.hang:
            PAUSE.wait(0.01)


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
