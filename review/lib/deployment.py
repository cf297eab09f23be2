"""A small deployment: a store, three engines of the order service, and three gateways."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from lib import wire
from lib.case import Case
from lib.platform import PlainEngine, Run, Store
from lib.system import Node, gateway

HOST = "kronwacht.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "auftrag"
ZONES = ("graz-a", "graz-b", "leoben")
ORDER_PATH = "/cut-order/1"
STATUS_PATH = "/notice-status/1"
FIRST_VERSION = 7


def configuration(
    version: int = FIRST_VERSION, keys: Sequence[str] = (API_KEY,)
) -> dict[str, object]:
    """Return the operator's configuration: two routes to one service, one customer."""
    common = {
        "hostname": HOST,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": SERVICE,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [
            {"name": "r-order", "pathPrefix": "/cut-order/", "kind": "non_idempotent"}
            | {"maxAttempts": 1, **common},
            {"name": "r-status", "pathPrefix": "/notice-status/", "kind": "idempotent"}
            | {"maxAttempts": 2, **common},
        ],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "road-office", "apiKeys": list(keys), "priority": 1}],
    }


@dataclass
class Deployment:
    """What a case runs against.

    :ivar arrivals: the requests that servers have received.
    """

    store: Store
    nodes: list[Node]
    arrivals: list[Run] = field(default_factory=list)


async def start(case: Case, keys: Sequence[str] = (API_KEY,)) -> Deployment:
    """Start the stand-ins and the gateways, and wait until all are ready.

    :param keys: API keys of the first configuration.
    """
    store = Store()
    await store.start()
    store.put("op/config", configuration(keys=keys))
    ports = (wire.free_port(), wire.free_port())
    nodes = [
        gateway(case.folder, number, zone, store.address, ports, len(ZONES))
        for number, zone in enumerate(ZONES, 1)
    ]
    deployment = Deployment(store, nodes)
    for number, zone in enumerate(ZONES, 1):
        identity, host = f"i-{SERVICE}-{number}", f"127.60.1.{number}"
        await PlainEngine(store, identity, SERVICE, zone, host, deployment.arrivals).start()
    case.nodes.extend(nodes)
    for node in nodes:
        await node.start()
    await asyncio.gather(*(node.until_ready() for node in nodes))
    return deployment
