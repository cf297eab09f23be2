"""Keeps a feed up to date with a limited rate of reads from the platform."""

import asyncio
import random

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.configuration.feed import Feed, PlatformSource
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.settings.model import PlatformSettings, ProcessSettings
from pearshed._internal.utils.backoff import Backoff

_INITIAL_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 5.0
_MAX_CONFIRM_INTERVAL_S = 8.0
_STALE_AFTER_S = 20.0
_STANDBY_CHECK_INTERVAL_S = 1.0
_FALLBACK_POLL_INTERVAL_S = 30.0
_PEER_GRACE_S = 2.0
_PEER_CHECK_INTERVAL_S = 0.1


class PlatformFollower:
    """Watches one feed if this process is a reader; other processes get it from peers.

    A few entries of each data centre are readers. A process whose feed has become stale polls the
    platform itself, at an interval long enough that a whole fleet of such processes stays within
    the platform's read rate.

    :param is_entry: whether the process may be a reader; sides are never readers.
    """

    def __init__(
        self,
        process: ProcessSettings,
        platform: PlatformSettings,
        source: PlatformSource,
        feed: Feed,
        view: VMView,
        is_entry: bool,
    ) -> None:
        self._process = process
        self._platform = platform
        self._source = source
        self._feed = feed
        self._view = view
        self._is_entry = is_entry
        self._rng = random.Random()
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failed reads of the platform."""
        return self._failures

    async def run(self) -> None:
        """Keep the feed up to date until cancelled."""
        backoff = Backoff(_INITIAL_RETRY_DELAY_S, _MAX_RETRY_DELAY_S, self._rng)
        await self._wait_for_peers()
        while True:
            if not self._should_read():
                await asyncio.sleep(_STANDBY_CHECK_INTERVAL_S)
            elif not await self._read():
                await asyncio.sleep(backoff.next_delay())
            else:
                backoff.reset()
                await self._wait_for_next_poll()

    def _is_reader(self) -> bool:
        return self._is_entry and self._view.is_reader(
            self._process.name, self._process.data_centre, self._platform.readers
        )

    def _should_read(self) -> bool:
        if not self._feed.revision or self._is_reader():
            return True
        return self._feed.confirmed_ago_s > _STALE_AFTER_S

    async def _wait_for_peers(self) -> None:
        """Let a starting side get the feed from entries, to limit reads during a mass restart."""
        if self._is_entry:
            return
        checks = round(_PEER_GRACE_S / _PEER_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.5))
        for _ in range(checks):
            if self._feed.revision:
                return
            await asyncio.sleep(_PEER_CHECK_INTERVAL_S)

    async def _read(self) -> bool:
        wait_s = 0.0
        if self._feed.revision and self._is_reader():
            wait_s = min(self._platform.watch_s, _MAX_CONFIRM_INTERVAL_S)
        result = await self._source.changes(self._feed.name, self._feed.revision, wait_s)
        if is_successful(result):
            self._feed.apply(result.unwrap())
            return True
        self._failures += 1
        logging.warning("platform read failed; retrying after a delay: %s", result.failure())
        return False

    async def _wait_for_next_poll(self) -> None:
        """Wait between the polls of a non-reader, with jitter; a reader reads again at once."""
        if not self._is_reader():
            await asyncio.sleep(_FALLBACK_POLL_INTERVAL_S * self._rng.uniform(0.5, 1.5))
