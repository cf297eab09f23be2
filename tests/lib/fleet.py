"""Runs entry and side processes on loopback, with stand-ins for the platform and engines."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import urllib3
import yaml

from tests.lib import records
from tests.lib.fault_proxy import FaultProxy
from tests.lib.ports import free_port
from tests.lib.records import Document

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02

_Value = TypeVar("_Value")


def wait_for(read: Callable[[], _Value | None], awaited: str) -> _Value:
    """Poll until ``read`` returns a true value, and return it.

    :param awaited: for the error message.
    :raises AssertionError: after ``TIMEOUT_S``, which no passing run needs.
    """
    tries = round(TIMEOUT_S / _POLL_INTERVAL_S)
    for _ in range(tries):
        value = read()
        if value:
            return value
        threading.Event().wait(_POLL_INTERVAL_S)
    raise AssertionError(f"timed out waiting for {awaited}")


class Node:
    """A running process, of the system or a stand-in."""

    def __init__(self, name: str, port: int, admin_port: int, process: Any, log: Any) -> None:
        self.name = name
        self.port = port
        self.admin_port = admin_port
        self.process = process
        self._log = log

    @property
    def url(self) -> str:
        """Base URL of its main port."""
        return f"http://127.0.0.1:{self.port}"

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, and wait until it is suspended."""
        self.signal(signal.SIGSTOP)
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat")
        wait_for(
            lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "SIGSTOP to take effect"
        )

    def resume(self) -> None:
        """Continue a suspended process."""
        self.signal(signal.SIGCONT)

    def wait_exit(self) -> int:
        """Wait for the process to exit by itself and return its exit status."""
        return int(self.process.wait(TIMEOUT_S))

    def dump(self) -> Any:
        """Read the state dump."""
        return json.loads(self.page("dump").data)

    def page(self, name: str) -> urllib3.BaseHTTPResponse:
        """Read a page of the admin address."""
        return urllib3.request(
            "GET", f"http://127.0.0.1:{self.admin_port}/{name}", timeout=10.0, retries=False
        )

    def is_ready(self) -> bool:
        """Return whether the process reports that it is ready."""
        try:
            return self.page("readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def log_text(self) -> str:
        """Read the process's log."""
        self._log.flush()
        return pathlib.Path(self._log.name).read_text(errors="replace")


class Fleet:
    """Starts a platform stand-in, engine stand-ins, sides and entries, and ends them on exit.

    :ivar sources: code directories of processes by name, set before the start; the others run
        the code of this tree.
    """

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="pearshed-test-")
        self.nodes: dict[str, Node] = {}
        self.sources: dict[str, pathlib.Path] = {}
        self.platform = Node("platform", 0, 0, None, None)
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=TIMEOUT_S)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process."""
        for node in self.nodes.values():
            if node.process.poll() is None:
                node.signal(signal.SIGCONT)
                node.kill()
        self.http.clear()
        self._directory.cleanup()

    def start_platform(self, documents: Sequence[Document], vms: Sequence[Document]) -> Node:
        """Start the platform stand-in and publish records and VMs."""
        self.platform = self._start_stub("platform", "tests.lib.platform")
        self.publish("records", documents)
        self.publish("vms", vms)
        return self.platform

    def start_engine(self, name: str, **state: Any) -> Node:
        """Start an engine stand-in."""
        node = self._start_stub(
            name, "tests.lib.engine", "--journal", str(self._journal_path(name))
        )
        if state:
            self.set(node, **state)
        return node

    def restart_engine(self, node: Node) -> Node:
        """Restart a killed engine stand-in at its address."""
        arguments = ("--journal", str(self._journal_path(node.name)))
        return self._start_stub(node.name, "tests.lib.engine", *arguments, port=node.port)

    def start_side(
        self, name: str, endpoint: str, engine_port: int, port: int, **settings: Any
    ) -> Node:
        """Start a side process."""
        section = {
            "endpoint": endpoint,
            "listen": f"127.0.0.1:{port}",
            "endpoint_address": f"127.0.0.1:{engine_port}",
            "key_clock_skew_s": 0.05,
        }
        return self._start_process("side", name, port, {**section, **settings})

    def start_entry(self, name: str, **settings: Any) -> Node:
        """Start an entry process."""
        port = free_port()
        section = {"listen": f"127.0.0.1:{port}", "drain_s": 0.2}
        return self._start_process("entry", name, port, {**section, **settings})

    def publish(self, feed: str, documents: Sequence[Document]) -> int:
        """Publish records or VMs.

        :returns: the revision.
        """
        return int(self.post(self.platform, f"/_publish/{feed}", list(documents))["revision"])

    def set(self, node: Node, **state: Any) -> None:
        """Set switches of a stand-in."""
        self.post(node, "/_set", state)

    def post(self, node: Node, path: str, document: Any) -> Any:
        """Post JSON to a stand-in."""
        response = self.http.request("POST", node.url + path, body=json.dumps(document))
        return json.loads(response.data)

    def journal(self, node: Node) -> Any:
        """Read the journal and the counts of an engine stand-in."""
        return json.loads(self.http.request("GET", node.url + "/_journal").data)

    def runs(self, *nodes: Node) -> list[Document]:
        """List all runs of engine stand-ins, including those before a restart."""
        lines = [line for node in nodes for line in self._journal_path(node.name).open()]
        return [json.loads(line) for line in lines]

    def wait_ready(self, *nodes: Node) -> None:
        """Wait until processes are ready."""
        for node in nodes:
            wait_for(node.is_ready, f"{node.name} to be ready:\n{node.log_text()}")

    def wait_links(self, entry: Node, count: int) -> None:
        """Wait until an entry has usable links to at least ``count`` sides."""

        def usable() -> bool:
            links = entry.dump()["links"]
            return len([link for link in links if link["connected"] and link["slots"]]) >= count

        wait_for(usable, f"{entry.name} to connect to {count} sides")

    def call(
        self,
        entry: Node,
        path: str = "/v1/chat/completions",
        body: Any = None,
        method: str = "POST",
        key: str = records.API_KEY,
        preload_content: bool = True,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        """Call an entry; header names are given with underscores."""
        all_headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        content = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        return self.http.request(
            method,
            entry.url + path,
            body=content,
            headers=all_headers,
            preload_content=preload_content,
        )

    def wait_logged(self, node: Node, *texts: str) -> None:
        """Wait until one line of a process's log has all texts."""
        path = pathlib.Path(self._directory.name) / f"{node.name}.log"

        def is_logged() -> bool:
            lines = path.read_text(errors="replace").splitlines()
            return any(all(text in line for text in texts) for line in lines)

        wait_for(is_logged, f"{texts} in the log of {node.name}")

    def call_until_broken(self, entry: Node, **fields: Any) -> bytes:
        """Call an entry and return what arrives before the response breaks off.

        :raises AssertionError: when the response is complete.
        """
        response = self.call(entry, preload_content=False, **fields)
        received = b""
        try:
            for piece in response.stream(1):
                received += piece
        except urllib3.exceptions.HTTPError:
            return received
        raise AssertionError(f"the response is complete: {received!r}")

    def _journal_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / f"{name}.journal"

    def _start_stub(self, name: str, module: str, *arguments: str, port: int = 0) -> Node:
        port = port or free_port()
        node = self._spawn(name, port, 0, ["-m", module, "--port", str(port), *arguments])
        wait_for(lambda: _is_listening(port), f"{name} to listen")
        return node

    def _start_process(self, kind: str, name: str, port: int, section: Document) -> Node:
        admin_port = free_port()
        settings = {
            "process": {
                "name": name,
                "data_centre": section.pop("data_centre", "olympia"),
                "admin": f"127.0.0.1:{admin_port}",
                "log_level": "info",
                **section.pop("process", {}),
            },
            "platform": {"url": self.platform.url, **section.pop("platform", {})},
            "peers": {"heartbeat_s": 0.2, "silence_s": 1.0, **section.pop("peers", {})},
            "tls": section.pop("tls", {}),
            kind: section,
        }
        path = pathlib.Path(self._directory.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return self._spawn(
            name, port, admin_port, ["-m", "pearshed", kind, "--settings", str(path)]
        )

    def _spawn(self, name: str, port: int, admin_port: int, arguments: Sequence[str]) -> Node:
        log = open(pathlib.Path(self._directory.name) / f"{name}.log", "ab")  # noqa: SIM115
        source = self.sources.get(name, ROOT / "src")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": f"{source}:{ROOT}"},
        )
        node = Node(name, port, admin_port, process, log)
        self.nodes[name] = node
        return node


def _is_listening(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def chat_body(content: str = "a notice", stream: Any = True, **extra: Any) -> Document:
    """Create the body of a chat completion request."""
    messages = [{"role": "user", "content": content}]
    return {"model": "writer", "messages": messages, "stream": stream, **extra}


class SmallSite:
    """A platform, entries, and the endpoints of one service with their sides.

    :param fault_proxies: put a proxy between the entries and each side, to inject faults.
    :param links: usable links that each entry must have at the start; 0 for one per endpoint.
    :param side: additional settings of each side.
    :param entry: additional settings of each entry.
    :ivar engines: the engine stand-ins, in the order of the sides.
    """

    def __init__(
        self,
        fleet: Fleet,
        endpoints: int = 2,
        entries: int = 1,
        slots: int = 8,
        fault_proxies: bool = False,
        peers: Document | None = None,
        links: int = 0,
        side: Document | None = None,
        **entry: Any,
    ) -> None:
        self.fleet = fleet
        self._side = side or {}
        self._peers = peers or {}
        names = [f"engine-{number + 1}" for number in range(endpoints)]
        self.names = names
        self.listen_ports = [free_port() for _ in names]
        self.proxies = [FaultProxy(port) for port in self.listen_ports] if fault_proxies else []
        self.side_ports = [proxy.port for proxy in self.proxies] or self.listen_ports
        self.documents = [
            records.endpoint(name, "writing", port, slots)
            for name, port in zip(names, self.side_ports, strict=True)
        ]
        entry_names = [f"entry-{number + 1}" for number in range(entries)]
        vms = [records.vm(name, "entry") for name in entry_names]
        vms += [records.vm(name, "side") for name in names]
        fleet.start_platform(records.base_records() + self.documents, vms)
        self.engines = [fleet.start_engine(name) for name in names]
        self.sides = [self.start_side(number) for number in range(endpoints)]
        self.entries = [fleet.start_entry(name, peers=self._peers, **entry) for name in entry_names]
        fleet.wait_ready(*self.sides, *self.entries)
        for node in self.entries:
            fleet.wait_links(node, links or endpoints)

    def start_side(self, number: int) -> Node:
        """Start the side of an endpoint, or restart one that has exited."""
        engine = self.engines[number]
        return self.fleet.start_side(
            f"side-{engine.name}",
            engine.name,
            engine.port,
            self.listen_ports[number],
            peers=self._peers,
            **self._side,
        )

    @property
    def entry(self) -> Node:
        """The first entry."""
        return self.entries[0]
