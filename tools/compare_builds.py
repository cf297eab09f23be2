"""Compares two builds: ``python -m tools.compare_builds OLD_TREE NEW_TREE``.

Each tree has its code in ``src/pearshed``. Runs real processes of both builds on loopback, with the
stand-ins from this checkout's tests, and checks that the new build reads the same files as the old
one, works together with processes of the old one, and has the same names on pages and in logs.
Prints one line per check; the exit status is 1 if any check differs.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import logging
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import trustme
import urllib3

from pearshed._internal.utils.addresses import Address
from soak.testbed import (
    API_KEYS,
    PROMPT_TOKENS,
    Node,
    Testbed,
    response_body,
    split_versions,
    stream_body,
)
from tests.lib import engine, records
from tests.lib.fleet import Fleet, SmallSite, chat_body, wait_for
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.load import uuid7

_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05
_ADMITTED_REQUESTS = 5
_TRACEBACK_HEADER = "Traceback (most recent call last)"
_ENGINE_SIDE = "side-127.0.12.1"
_SIDE = "side-engine-1"
_PROMPT_HEADERS = {
    "Pearshed-Token-Usage": f"{PROMPT_TOKENS},20",
    "Pearshed-Prefix-Hash": f"aa:{PROMPT_TOKENS}",
}
#: Metric labels whose values come from a fixed set in the code.
_LABELS_WITH_FIXED_VALUES = ("decision", "event", "outcome")
#: Metrics, events and outcomes that occur only when a process responds too slowly to another one,
#: so they may be missing in either build.
_ONLY_WHEN_SLOW = {"side.silent", "side silent", "pearshed_gateway_peer_news_total"}
#: An idempotency key created long before the side started: a version 7 UUID with timestamp 0.
_OLD_KEY = "00000000-0000-7000-8000-000000000000"

#: The label of a state line in the output of ``explain``: free text, so builds may differ in it.
_STATE_LABEL = re.compile(r"^  [a-z ]+: ", re.MULTILINE)

Problems = list[str]
#: Names on the pages of each process.
Names = dict[str, set[str]]
#: Log text of each process.
Logs = dict[str, str]


def run_command(source: pathlib.Path, *arguments: str) -> tuple[int, str]:
    """Run a command of a build.

    :returns: its exit status and output.
    """
    completed = subprocess.run(
        [sys.executable, *arguments],
        env={"PYTHONPATH": str(source)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
        timeout=_TIMEOUT_S,
    )
    return completed.returncode, completed.stdout


def compare_names(label: str, old: set[str], new: set[str]) -> Problems:
    """List the names that only one build has."""
    problems = [f"{label}: only old has {name}" for name in sorted(old - new)]
    return problems + [f"{label}: only new has {name}" for name in sorted(new - old)]


def expect(label: str, expected: object, actual: object) -> Problems:
    """Compare a value with the expected one."""
    return (
        []
        if expected == actual
        else [f"{label}: expected {expected!r:.300}, found {actual!r:.300}"]
    )


def find_tracebacks(**logs: str) -> Problems:
    """Report the processes whose logs have a traceback."""
    return [
        f"traceback in the log of the {name}"
        for name, log in logs.items()
        if _TRACEBACK_HEADER in log
    ]


def key_paths(value: Any, path: str = "") -> set[str]:
    """Collect the paths of all keys of a JSON document; of a list, only the first item counts."""
    if isinstance(value, dict):
        keys = {f"{path}.{key}" for key in value}
        return keys.union(*(key_paths(item, f"{path}.{key}") for key, item in value.items()))
    if isinstance(value, list) and value:
        return key_paths(value[0], f"{path}[]")
    return set()


def metric_names(page: str) -> set[str]:
    """Collect types, help texts and label names of a metrics page, and values from fixed sets."""
    names = set()
    for line in page.splitlines():
        name = re.split(r"[{ ]", line)[0]
        if line.startswith("#"):
            names.add(line)
        elif line and name not in _ONLY_WHEN_SLOW:
            labels = sorted(re.findall(r'(\w+)="([^"]*)"', line))
            values = [value for label, value in labels if label in _LABELS_WITH_FIXED_VALUES]
            names.add(f"{name} labels {[label for label, _ in labels]} {values}")
    return names


def read_events(log: str) -> list[dict[str, Any]]:
    """Read the JSON lines of a log."""
    return [json.loads(line) for line in log.splitlines() if line.startswith("{")]


def event_names(log: str) -> set[str]:
    """Collect the names, outcomes and field names of a log's events."""
    return {
        f"{event['message']} {event.get('outcome', '')} {sorted(event)}"
        for event in read_events(log)
        if not {event["message"], event.get("outcome")} & _ONLY_WHEN_SLOW
    }


async def read_page(
    address: Address, name: str, accepts: Callable[[str], bool] = lambda _: True
) -> str:
    """Poll a page of a process until it has status 200 and its content is accepted.

    :raises TimeoutError: when that takes too long.
    """
    status, content = 0, ""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while status != 200 or not accepts(content):
                await asyncio.sleep(_POLL_INTERVAL_S)
                with contextlib.suppress(OSError):
                    caller = await Caller.connect(address)
                    caller.send(f"/{name}", method="GET")
                    response = await caller.read_response()
                    caller.close()
                    status, content = (
                        (response.status, response.body.decode()) if response else (0, "")
                    )
    except TimeoutError:
        raise TimeoutError(f"timed out waiting for /{name}, last: {status} {content}") from None
    return content


async def wait_for_dump(address: Address, **expected: object) -> None:
    """Wait until the state dump of a process has these values."""
    await read_page(address, "dump", lambda text: expected.items() <= json.loads(text).items())


async def read_page_names(address: Address) -> set[str]:
    """Wait for status 200 on all pages, and collect the names that both builds must share."""
    for name in ("healthz", "readyz"):
        await read_page(address, name)
    metrics = metric_names(await read_page(address, "metrics"))
    return metrics | key_paths(json.loads(await read_page(address, "dump")), "dump")


async def call_gateway(
    testbed: Testbed, path: str, request_id: str, key: str = API_KEYS[0]
) -> CallerResponse:
    """Send a request with prompt headers to the first gateway."""
    headers = {"Authorization": f"Token {key}", "Pearshed-Deadline-Ms": "6000", **_PROMPT_HEADERS}
    async with asyncio.timeout(_TIMEOUT_S):
        caller = await Caller.connect(testbed.caller_addresses[0])
        caller.send(path, request_id=request_id, headers=headers)
        response = await caller.read_response()
        caller.close()
    return response or CallerResponse(0, {}, b"", False)


async def check_served(testbed: Testbed, path: str, request_id: str) -> Problems:
    """Send a request and check that its response is complete and correct."""
    response = await call_gateway(testbed, path, request_id)
    streamed = path.startswith(("/draft", "/explain"))
    body = stream_body(request_id) if streamed else response_body(request_id)
    received, _ = split_versions(response.body)
    actual = (response.status, response.complete, received)
    return expect(f"response to {path} {request_id}", (200, True, body), actual)


def count_granted(node: Node) -> int:
    """Count the requests of a gateway that a side has admitted."""
    events = read_events(node.log.read_text(errors="replace"))
    outcomes = [event.get("outcome") for event in events if event["message"] == "request.admission"]
    return outcomes.count("granted")


async def check_admitted(testbed: Testbed, prefix: str) -> Problems:
    """Send streamed requests until the side has admitted several more; check all responses."""
    target = count_granted(testbed.gateways[0]) + _ADMITTED_REQUESTS
    problems: Problems = []
    deadline = time.monotonic() + _TIMEOUT_S
    for number in itertools.count():
        problems += await check_served(testbed, "/draft/a", f"{prefix}{number}")
        if problems or count_granted(testbed.gateways[0]) >= target:
            break
        if time.monotonic() > deadline:
            problems.append("timed out waiting for request.admission with outcome granted")
    return problems


async def wait_ready(testbed: Testbed) -> None:
    """Wait until all processes are ready."""
    for address in (*testbed.page_addresses, *(relay.target for relay in testbed.relays)):
        await read_page(address, "readyz")


@contextlib.asynccontextmanager
async def running_testbed(side: pathlib.Path, *gateways: pathlib.Path) -> AsyncIterator[Testbed]:
    """Run an engine-side and gateways, each from the given build."""
    with tempfile.TemporaryDirectory(prefix="compare-") as folder:
        testbed = Testbed(pathlib.Path(folder), len(gateways), 1)
        testbed.sources[_ENGINE_SIDE] = side
        for number, source in enumerate(gateways):
            testbed.sources[f"gateway-{number}"] = source
        try:
            await testbed.start()
            await wait_ready(testbed)
            yield testbed
        finally:
            await testbed.stop()


@contextlib.contextmanager
def running_site(
    entry: pathlib.Path, side: pathlib.Path, /, *others: pathlib.Path, **settings: Any
) -> Iterator[SmallSite]:
    """Run an entry, a side and any further entries, each from the given build."""
    with Fleet() as fleet:
        fleet.sources[_SIDE] = side
        for number, source in enumerate((entry, *others), 1):
            fleet.sources[f"entry-{number}"] = source
        yield SmallSite(fleet, endpoints=1, entries=1 + len(others), **settings)


def send_order(site: SmallSite, key: str) -> urllib3.BaseHTTPResponse:
    """Send an order with an idempotency key."""
    return site.fleet.call(
        site.entry,
        "/services/writing/orders",
        key.encode(),
        X_Request_Class="order",
        Idempotency_Key=key,
    )


def call_site(site: SmallSite) -> Problems:
    """Send a streaming and a non-streaming call, and an order twice, and check the responses."""
    problems: Problems = []
    for stream in (True, False):
        body = chat_body(stream=stream)
        response = site.fleet.call(site.entry, body=body)
        expected = b"".join(engine.stream_chunks(body)) if stream else engine.response_body(body)
        actual = (response.status, response.data)
        problems += expect(f"chat call, stream {stream}", (200, expected), actual)
    # A side that has just started refuses even new keys, until it has run longer
    # than the allowed clock skew.
    wait_for(lambda: send_order(site, uuid7()).status == 200, "an order to be accepted")
    key = uuid7()
    first, second = send_order(site, key), send_order(site, key)
    problems += expect("first order", 200, first.status)
    problems += expect("replayed order", (200, first.data), (second.status, second.data))
    contents = [run["content"] for run in site.fleet.runs(*site.engines)]
    return problems + expect("runs of the order", 1, contents.count(key))


async def run_gateway(source: pathlib.Path) -> tuple[Names, Logs]:
    """Run a gateway and an engine-side of one build through a fixed series of requests.

    :returns: names on the pages and logs, by process.
    """
    async with running_testbed(source, source) as testbed:
        problems = await check_admitted(testbed, "warm-up-")
        problems += await check_served(testbed, "/draft/a", "served")
        statuses = [(await call_gateway(testbed, "/lookup/a", "refused", key="wrong")).status]
        statuses.append((await call_gateway(testbed, "/unknown/a", "unknown")).status)
        testbed.response_loss_rate = 1.0
        statuses.append((await call_gateway(testbed, "/confirm/a", "failed")).status)
        testbed.response_loss_rate = 0.0
        problems += expect("statuses of refused requests", [401, 404, 502], statuses)
        addresses = {"gateway": testbed.page_addresses[0], "engine-side": testbed.relays[0].target}
        await wait_for_dump(addresses["engine-side"], admitted=0, waiting=0)
        # The pages are read before a second route is used: a gateway whose endpoints have responded
        # on two routes can't render its metrics, as it registers the same histogram for each route.
        names = {process: await read_page_names(address) for process, address in addresses.items()}
        for path in ("/lookup/a", "/confirm/a", "/explain/a"):
            problems += await check_served(testbed, path, f"served{path.replace('/', '-')}")
        if problems:
            raise AssertionError("; ".join(problems))
        nodes = {"gateway": testbed.gateways[0], "engine-side": testbed.sides[0]}
        for node in nodes.values():
            node.send_signal(signal.SIGTERM)
            assert node.process is not None
            await asyncio.wait_for(node.process.wait(), _TIMEOUT_S)
        return names, {process: node.log.read_text() for process, node in nodes.items()}


async def run_entry(source: pathlib.Path) -> Names:
    """Run an entry and a side of one build through a fixed series of requests.

    :returns: names on the pages, by process.
    """
    with running_site(source, source) as site:
        problems = call_site(site)
        problems += expect("order with an old key", 409, send_order(site, _OLD_KEY).status)
        problems += expect("wrong key", 401, site.fleet.call(site.entry, key="wrong").status)
        unknown = site.fleet.call(site.entry, body=chat_body(model="unknown"))
        problems += expect("unknown model", 404, unknown.status)
        if problems:
            raise AssertionError("; ".join(problems))
        nodes = {"entry": site.entry, "side": site.sides[0]}
        return {
            process: await read_page_names(Address("127.0.0.1", node.admin_port))
            for process, node in nodes.items()
        }


class Comparison:
    """The checks, each of which returns the differences.

    :param old: source folder of the old build.
    :param new: source folder of the new build.
    """

    def __init__(self, old: pathlib.Path, new: pathlib.Path) -> None:
        self._old = old
        self._new = new
        self._logs: dict[pathlib.Path, Logs] = {}

    def checks(self) -> Iterator[tuple[str, Awaitable[Problems]]]:
        """List all checks with their names."""
        pairs = (("old", self._old, "new", self._new), ("new", self._new, "old", self._old))
        yield "check: examples", self.check_examples()
        yield "check: broken files", self.check_broken_files()
        yield "settings files: gateway and engine-side", self.check_gateway_files()
        yield "TLS files: entry", self.check_tls_files()
        for name, source, other_name, other in pairs:
            yield f"{name} gateway, {other_name} engine-side", self.check_admission(source, other)
        for name, source, other_name, other in pairs:
            yield f"{name} gateway asks {other_name} gateway", self.check_peer_sync(source, other)
        for name, source, other_name, other in pairs:
            yield f"{name} entry, {other_name} side", self.check_calls(source, other)
        yield "pages: gateway and engine-side", self.check_gateway_pages()
        yield "pages: entry and side", self.check_entry_pages()
        yield "log events: gateway and engine-side", self.check_events()
        yield "explain", self.check_explain()

    async def check_examples(self) -> Problems:
        """Run ``pearshed check`` of both builds on the old build's examples."""
        examples = self._old.parent / "examples"
        files = [("--settings", path) for path in sorted(examples.glob("*.yaml"))]
        problems = expect("examples of settings are found", True, bool(files))
        for option, path in (*files, ("--records", examples / "records.json")):
            arguments = ("-m", "pearshed", "check", option, str(path))
            expected = run_command(self._old, *arguments)
            problems += expect(path.name, expected, run_command(self._new, *arguments))
        return problems

    async def check_broken_files(self) -> Problems:
        """Run ``pearshed check`` of both builds on invalid files; only exit statuses must match."""
        problems: Problems = []
        record = json.dumps([records.record("tier", "urgent", rank=-1)])
        with tempfile.TemporaryDirectory(prefix="compare-") as folder:
            path = pathlib.Path(folder) / "broken"
            for option, content in (
                ("--settings", "process: {name: [1]}\n"),
                ("--records", record),
            ):
                path.write_text(content)
                arguments = ("-m", "pearshed", "check", option, str(path))
                old, new = (run_command(source, *arguments)[0] for source in (self._old, self._new))
                problems += expect(f"broken {option} is refused", True, old != 0)
                problems += expect(f"exit status of broken {option}", old, new)
        return problems

    async def check_gateway_files(self) -> Problems:
        """Restart a gateway and an engine-side with the other build and the same files."""
        async with running_testbed(self._old, self._old) as testbed:
            problems = await check_admitted(testbed, "before-")
            for name, source in (("updated", self._new), ("back", self._old)):
                for node in (*testbed.gateways, *testbed.sides):
                    await node.kill()
                    node.source = source
                    await node.start()
                await wait_ready(testbed)
                problems += await check_admitted(testbed, f"{name}-")
            return problems

    async def check_tls_files(self) -> Problems:
        """Use the same certificates in an entry of each build, and between entry and side."""
        problems: Problems = []
        with tempfile.TemporaryDirectory(prefix="compare-") as folder:
            paths = {name: f"{folder}/{name}.pem" for name in ("certificate", "key", "authority")}
            authority = trustme.CA()
            certificate = authority.issue_cert("127.0.0.1")
            certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
            certificate.private_key_pem.write_to_path(paths["key"])
            authority.cert_pem.write_to_path(paths["authority"])
            server_files = {name: paths[name] for name in ("certificate", "key")}
            side = {"tls": {"peers": paths}}
            tls = {"peers": paths, "callers": server_files}
            with (
                running_site(self._old, self._old, self._new, side=side, tls=tls) as site,
                urllib3.PoolManager(ca_certs=paths["authority"], timeout=_TIMEOUT_S) as pool,
            ):
                for entry in site.entries:
                    response = pool.request(
                        "POST",
                        f"https://127.0.0.1:{entry.port}/v1/chat/completions",
                        body=json.dumps(chat_body()),
                        headers={"Authorization": f"Bearer {records.API_KEY}"},
                    )
                    expected = (200, b"".join(engine.stream_chunks(chat_body())))
                    problems += expect(entry.name, expected, (response.status, response.data))
        return problems

    async def check_admission(self, gateway: pathlib.Path, side: pathlib.Path) -> Problems:
        """Send requests through a gateway of one build and an engine-side of the other."""
        async with running_testbed(side, gateway) as testbed:
            problems = await check_admitted(testbed, "admitted-")
            if problems:
                return problems
            idle = {"admitted": 0, "waiting": 0, "gateways": 1, "datagrams_malformed": 0}
            await wait_for_dump(testbed.relays[0].target, **idle)
            log = testbed.gateways[0].log.read_text()
            if "datagram.malformed" in log:
                problems.append("the gateway got malformed datagrams")
            return problems + find_tracebacks(gateway=log, side=testbed.sides[0].log.read_text())

    async def check_peer_sync(self, requester: pathlib.Path, responder: pathlib.Path) -> Problems:
        """Start a gateway that can't reach the store; it must sync with one of the other build."""
        async with running_testbed(responder, requester, responder) as testbed:
            testbed.store_proxies[0].refuse_connections = True
            testbed.store_proxies[0].reset(1.0, random.Random(0))
            await testbed.gateways[0].kill()
            await testbed.gateways[0].start()
            await wait_ready(testbed)
            testbed.publish_configuration()
            expected = {"known_from_peers": True, "configuration": testbed.configuration_version}
            await wait_for_dump(testbed.page_addresses[0], **expected)
            problems = await check_served(testbed, "/lookup/a", "cut-off-1")
            problems += await check_served(testbed, "/draft/a", "cut-off-2")
            logs = [node.log.read_text() for node in testbed.gateways]
            return problems + find_tracebacks(requester=logs[0], responder=logs[1])

    async def check_calls(self, entry: pathlib.Path, side: pathlib.Path) -> Problems:
        """Send calls through an entry of one build and a side of the other."""
        with running_site(entry, side) as site:
            problems = call_site(site)
            logs = {"entry": site.entry.log_text(), "side": site.sides[0].log_text()}
            return problems + find_tracebacks(**logs)

    async def check_gateway_pages(self) -> Problems:
        """Compare operator pages after the same requests, and keep the logs for later checks."""
        old, self._logs[self._old] = await run_gateway(self._old)
        new, self._logs[self._new] = await run_gateway(self._new)
        return [problem for name in old for problem in compare_names(name, old[name], new[name])]

    async def check_entry_pages(self) -> Problems:
        """Compare operator pages after the same requests."""
        old, new = await run_entry(self._old), await run_entry(self._new)
        return [problem for name in old for problem in compare_names(name, old[name], new[name])]

    async def check_events(self) -> Problems:
        """Compare the events in the logs that ``check_gateway_pages`` kept."""
        old, new = self._logs[self._old], self._logs[self._new]
        names = {process: (event_names(old[process]), event_names(new[process])) for process in old}
        return [
            problem for process, pair in names.items() for problem in compare_names(process, *pair)
        ]

    async def check_explain(self) -> Problems:
        """Compare the output of ``pearshed explain`` of both builds on each build's gateway log."""
        problems: Problems = []
        with tempfile.TemporaryDirectory(prefix="compare-") as folder:
            path = pathlib.Path(folder) / "gateway.log"
            for build, source in (("old", self._old), ("new", self._new)):
                path.write_text(self._logs[source]["gateway"])
                for request in ("served", "refused", "failed"):
                    arguments = ("-m", "pearshed", "explain", request, str(path))
                    old, new = (
                        run_command(source, *arguments) for source in (self._old, self._new)
                    )
                    problems += expect(
                        f"{request}, {build} log: exit statuses", (0, 0), (old[0], new[0])
                    )
                    texts = (
                        _STATE_LABEL.sub("  ", output).splitlines() for _, output in (old, new)
                    )
                    for lines in itertools.zip_longest(*texts):
                        problems += expect(f"{request}, {build} log", *lines)
        return problems


async def run_check(name: str, check: Awaitable[Problems]) -> bool:
    """Run a check and print its line.

    :returns: whether nothing differs.
    """
    try:
        problems = await check
    except Exception as error:  # A mix of builds may fail in any way; the other checks still run.
        problems = [f"{type(error).__name__}: {error}"]
    text = " | ".join(" ".join(problem.split()) for problem in problems)
    print(f"DIFFERS {name}: {text}" if problems else f"ok {name}", flush=True)
    return not problems


async def compare(old: pathlib.Path, new: pathlib.Path) -> bool:
    """Run all checks.

    :returns: whether nothing differs.
    """
    results = [await run_check(*check) for check in Comparison(old, new).checks()]
    print(f"{results.count(True)} ok, {results.count(False)} differ")
    return all(results)


def find_source(tree: pathlib.Path) -> pathlib.Path:
    """Return the source folder of a tree; exit if Python would import other code from it."""
    source = tree.resolve() / "src"
    _, imported = run_command(source, "-c", "import pearshed; print(pearshed.__file__)")
    if pathlib.Path(imported.strip()).parent != source / "pearshed":
        sys.exit(f"{tree} has no code of pearshed that can be run: {imported.strip()}")
    return source


def main() -> int:
    """Compare two trees."""
    parser = argparse.ArgumentParser(prog="tools.compare_builds", description=__doc__)
    parser.add_argument("old", type=pathlib.Path, metavar="OLD_TREE")
    parser.add_argument("new", type=pathlib.Path, metavar="NEW_TREE")
    options = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    same = asyncio.run(compare(find_source(options.old), find_source(options.new)))
    return 0 if same else 1


if __name__ == "__main__":
    sys.exit(main())
