"""The other gateways that this one knows of."""

import collections
import random
from collections.abc import Iterable

from pearshed._internal.utils.addresses import Address

#: Gateways that are remembered; enough to find one that is well if most are not.
MAX_PEERS = 32


class PeerDirectory:
    """Control addresses of other gateways: the seeds, and those that sides have named.

    :param own: control address of this gateway; all gateways use its port.
    """

    def __init__(self, own: Address, seeds: Iterable[Address], source: random.Random) -> None:
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own]
        self._named: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._random = source

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Take hosts of gateways that a side has heard from."""
        for host in hosts:
            if host == self._own.host:
                continue
            self._named[host] = None
            self._named.move_to_end(host)
            if len(self._named) > MAX_PEERS:
                self._named.popitem(last=False)

    def sample(self, count: int) -> list[Address]:
        """Draw some gateways to ask."""
        named = [Address(host, self._own.port) for host in self._named]
        known = list(dict.fromkeys([*self._seeds, *named]))
        return self._random.sample(known, min(count, len(known)))
