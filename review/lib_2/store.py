"""A stand-in for the platform's store: items by key, a revision counter, and watches."""

import asyncio
import base64
import copy
import json
import urllib.parse
from typing import Any

from lib_2 import http1

#: Interval at which a watch that hears nothing looks whether it may go on, seconds.
_MUTED_CHECK_S = 0.01


class Store:
    """Serves ``kv-key``, ``kv-range`` and ``kv-watch`` on a loopback address.

    :param era: number of the store's era, sent with each answer; ``None`` to send none.
    """

    def __init__(self, host: str, port: int, era: int | None = None) -> None:
        self._host = host
        self._port = port
        self._era = era
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest = self._revision
        self._muted = False
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as settings name it."""
        return f"{self._host}:{self._port}"

    @property
    def revision(self) -> int:
        """The current revision."""
        return self._revision

    async def open(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def close(self) -> None:
        """Stop serving, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.end_connections()

    def end_connections(self) -> None:
        """End all connections; watches that wait get no answer."""
        for writer in tuple(self._writers):
            writer.close()

    def put(self, key: str, value: Any) -> int:
        """Write an item; return its revision, which acknowledges it."""
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": encoded,
            "revision": self._revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Remove an item; return the revision of its removal."""
        self._revision += 1
        del self._items[key]
        self._record({"key": key, "revision": self._revision, "deleted": True})
        return self._revision

    def put_again(self, key: str) -> None:
        """Write an item again as it is."""
        self.put(key, json.loads(base64.b64decode(self._items[key]["value"])))

    def mute_watches(self) -> None:
        """Let watches hear nothing."""
        self._muted = True

    def cut_watches(self) -> None:
        """End all connections, and with them the watches; further ones hear of changes again."""
        self.end_connections()
        self._muted = False

    def drop_history(self) -> None:
        """Forget the changes up to now; a watch from before gets 410."""
        self._events.clear()
        self._oldest = self._revision

    def copy(self) -> Any:
        """Return a copy of the present state, to come back from."""
        return self._revision, copy.deepcopy(self._items)

    def restore(self, saved: Any) -> None:
        """Come back from a copy: what was written since is lost, and the era rises by one."""
        self._revision, self._items = saved[0], copy.deepcopy(saved[1])
        self.drop_history()
        self._era = (self._era or 0) + 1

    def _record(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                if self._era is not None:
                    headers["Store-Era"] = str(self._era)
                content = json.dumps(body).encode()
                writer.write(http1.encode(f"HTTP/1.1 {status} Status", headers, content))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: http1.Message) -> tuple[int, dict[str, Any]]:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/v1/kv-key":
            item = self._items.get(query.get("key", ""))
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, {**item, "storeRevision": self._revision}
        if parts.path == "/v1/kv-range":
            prefix = query.get("pathPrefix", "")
            items = [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]
            return 200, {"items": items, "truncated": False, "storeRevision": self._revision}
        if parts.path == "/v1/kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        since = int(query["sinceRev"])
        if since > self._revision or since < self._oldest:
            return 410, {"storeRevision": self._revision}
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000.0
        prefix = query.get("pathPrefix", "")
        while True:
            if self._muted:
                await asyncio.sleep(_MUTED_CHECK_S)
                continue
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > since and event["key"].startswith(prefix)
            ]
            left_s = until - loop.time()
            if events or left_s <= 0.0:
                return 200, {"events": events, "storeRevision": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass
