"""A stand-in for the platform: records and VM list over HTTP, with faults on request.

Run it as ``python -m tests.lib.platform --port 9000 --records FILE --vms FILE``.
"""

import argparse
import json
import pathlib
import threading
import time
from typing import Any

from tests.lib.http_stub import StubHandler, StubServer, serve


class PublishedFeed:
    """Documents with revisions; only the latest revision of each is kept."""

    def __init__(self) -> None:
        self.revision = 0
        self.documents: dict[str, dict[str, Any]] = {}
        self.changed = threading.Condition()

    def publish(self, documents: list[dict[str, Any]]) -> int:
        """Publish documents at the next revision."""
        with self.changed:
            self.revision += 1
            for document in documents:
                key = f"{document.get('kind', 'vm')}/{document['name']}"
                self.documents[key] = {**document, "revision": self.revision}
            self.changed.notify_all()
            return self.revision

    def read_after(self, revision: int, wait_s: float) -> tuple[int, list[dict[str, Any]]]:
        """Wait for a newer revision, and return the current one with all newer documents."""
        with self.changed:
            self.changed.wait_for(lambda: self.revision > revision, wait_s)
            newer = [item for item in self.documents.values() if item["revision"] > revision]
            return self.revision, newer


class PlatformState:
    """The published feeds, and switches for faults.

    :ivar down: reads get a 503.
    :ivar snapshot: an earlier copy of the feeds.
    :ivar stale: reads get the snapshot.
    :ivar reads: times at which reads arrived.
    :ivar waiting: reads in progress.
    """

    def __init__(self) -> None:
        self.feeds = {"records": PublishedFeed(), "vms": PublishedFeed()}
        self.down = False
        self.snapshot: dict[str, tuple[int, list[dict[str, Any]]]] = {}
        self.stale = False
        self.reads: list[float] = []
        self.waiting = 0
        self.lock = threading.Lock()

    def take_snapshot(self) -> None:
        """Copy the published feeds."""
        self.snapshot = {name: feed.read_after(0, 0.0) for name, feed in self.feeds.items()}


class PlatformHandler(StubHandler):
    """Serves one connection."""

    server: "PlatformServer"

    def do_GET(self) -> None:
        """Serve a feed, or the counts of reads."""
        state = self.server.state
        name = self.path.partition("?")[0].removeprefix("/v1/")
        if self.path == "/_reads":
            self.respond_json({"reads": len(state.reads), "waiting": state.waiting})
            return
        with state.lock:
            state.reads.append(time.monotonic())
            state.waiting += 1
        try:
            self._serve_feed(state, name)
        finally:
            with state.lock:
                state.waiting -= 1

    def do_POST(self) -> None:
        """Publish documents, or set switches."""
        state = self.server.state
        document = json.loads(self.read_content())
        if self.path == "/_set":
            state.down = document.get("down", state.down)
            state.stale = document.get("stale", state.stale)
            if "mark" in document:
                state.take_snapshot()
            self.respond_json({})
            return
        name = self.path.removeprefix("/_publish/")
        self.respond_json({"revision": state.feeds[name].publish(document)})

    def _serve_feed(self, state: PlatformState, name: str) -> None:
        query = self.query()
        after = int(query.get("after", 0))
        wait_s = float(query.get("wait_s", 0))
        if state.stale and not state.down:
            revision, documents = state.snapshot[name]
            threading.Event().wait(min(wait_s, 0.2))
        else:
            revision, documents = state.feeds[name].read_after(after, 0.0 if state.down else wait_s)
        if state.down:
            self.respond_json({}, 503)
            return
        self.respond_json({"revision": revision, name: documents})


class PlatformServer(StubServer):
    """The stand-in."""

    def __init__(self, port: int, state: PlatformState) -> None:
        super().__init__(("127.0.0.1", port), PlatformHandler)
        self.state = state


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--records", type=pathlib.Path)
    parser.add_argument("--vms", type=pathlib.Path)
    options = parser.parse_args()
    state = PlatformState()
    for name, path in (("records", options.records), ("vms", options.vms)):
        if path is not None:
            state.feeds[name].publish(json.loads(path.read_text(encoding="utf-8")))
    serve(PlatformServer(options.port, state))


if __name__ == "__main__":
    main()
