"""Addresses of other gateways."""

import collections
import random
from collections.abc import Iterable

from pearshed._internal.utils.addresses import Address

#: Number of reported gateways to remember; enough to find a healthy one if most are not.
MAX_PEERS = 32


class PeerDirectory:
    """Control addresses of other gateways: the seeds, and those that sides have reported.

    :param own_address: control address of this gateway; all gateways use its port.
    """

    def __init__(self, own_address: Address, seeds: Iterable[Address], rng: random.Random) -> None:
        self._own_address = own_address
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._reported_hosts: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._rng = rng

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Add hosts of gateways that a side has received reports from."""
        for host in hosts:
            if host == self._own_address.host:
                continue
            self._reported_hosts[host] = None
            self._reported_hosts.move_to_end(host)
            if len(self._reported_hosts) > MAX_PEERS:
                self._reported_hosts.popitem(last=False)

    @property
    def hosts(self) -> frozenset[str]:
        """Hosts of the other known gateways."""
        return frozenset((*(seed.host for seed in self._seeds), *self._reported_hosts))

    def sample(self, count: int) -> list[Address]:
        """Return some gateways, chosen at random."""
        reported = [Address(host, self._own_address.port) for host in self._reported_hosts]
        peers = list(dict.fromkeys([*self._seeds, *reported]))
        return self._rng.sample(peers, min(count, len(peers)))
