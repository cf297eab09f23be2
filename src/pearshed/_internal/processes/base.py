"""Base class of entry and side processes: configuration feeds, admin pages, signals, shutdown."""

import abc
import asyncio
import signal
import sys
import uuid
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from absl import logging

import pearshed
from pearshed._internal.admin.server import AdminServer, Inspectable
from pearshed._internal.configuration.feed import Feed
from pearshed._internal.configuration.follower import PlatformFollower
from pearshed._internal.configuration.http_source import HttpPlatform
from pearshed._internal.configuration.store import RecordStore
from pearshed._internal.errors import InvariantBrokenError
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.peers.relay import FeedRelay
from pearshed._internal.resources.process_account import ProcessAccount
from pearshed._internal.settings.model import PlatformSettings, ProcessSettings, TlsFiles
from pearshed._internal.telemetry.metrics import Metric, MetricsPage, Sample, counter, gauge
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.tls import ReloadingContext

_TLS_CHECK_INTERVAL_S = 5.0


class Process(Inspectable):
    """Base class of entry and side processes.

    :param is_entry: whether it is an entry, which may read the platform for its data centre.
    """

    def __init__(
        self, settings: ProcessSettings, platform: PlatformSettings, *, is_entry: bool
    ) -> None:
        self._process_settings = settings
        self._incarnation = uuid.uuid4().hex
        self._timers = TimerService()
        self._store = RecordStore()
        self._view = VMView()
        self._relay = FeedRelay((self._store, self._view))
        self._platform = HttpPlatform(platform.url)
        self._followers = [
            PlatformFollower(settings, platform, self._platform, feed, self._view, is_entry)
            for feed in (self._store, self._view)
        ]
        self._metrics = MetricsPage()
        self._metrics.add(self._collect_common)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested = asyncio.Event()
        self._stopping = False
        self._failure: BaseException | None = None
        self._account = ProcessAccount(lambda: settings.machine)
        self._metrics.add(self._account.collect)
        self._admin = AdminServer(
            settings.admin, self, self._metrics, self._timers, self._account.pages
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then finish the requests in flight."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._request_stop)
        self._timers.start()
        self._store.subscribe(lambda _: self._relay.announce_changes())
        self._view.subscribe(self._relay.announce_changes)
        try:
            await self._admin.start()
            for follower in self._followers:
                self._spawn(follower.run())
            await self._start()
            await self._serve_until_stopped()
        finally:
            for task in self._tasks:
                task.cancel()
            self._platform.close()
            self._admin.stop()
            self._timers.stop()
            self._close()

    async def _serve_until_stopped(self) -> None:
        logging.info(
            "%s is running; admin pages on %s", self._process_settings.name, self._admin.address
        )
        await self._stop_requested.wait()
        if self._failure is not None:
            raise InvariantBrokenError("a background task of the process failed") from self._failure
        logging.info(
            "%s is draining; it stops when no request is in flight", self._process_settings.name
        )
        self._stopping = True
        await self._finish()

    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the process is not ready."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if not self._store.revision:
            reasons.append("no configuration yet")
        return reasons

    def dump(self) -> Mapping[str, Any]:
        """Describe the state of the process."""
        return {
            "process": self._process_settings.name,
            "data_centre": self._process_settings.data_centre,
            "version": pearshed.__version__,
            "incarnation": self._incarnation,
            "python": sys.version.split()[0],
            "stopping": self._stopping,
            "feeds": {feed.name.value: _describe_feed(feed) for feed in self._feeds()},
            "refused_records": [str(problem) for problem in self._store.refused],
            "platform_reads": self._platform.reads,
            "timers_pending": self._timers.pending,
            "held": self._account.dump(),
            **self._dump(),
        }

    @abc.abstractmethod
    async def _start(self) -> None:
        """Start the components of this kind of process."""

    @abc.abstractmethod
    async def _finish(self) -> None:
        """Wait until the requests in flight are finished."""

    @abc.abstractmethod
    def _close(self) -> None:
        """Stop the components without waiting for requests in flight."""

    @abc.abstractmethod
    def _dump(self) -> Mapping[str, Any]:
        """Describe the components of this kind of process."""

    def _create_tls_context(
        self, files: TlsFiles | None, create: Callable[[TlsFiles], ReloadingContext]
    ) -> ReloadingContext | None:
        """Create a TLS context that follows changes of its files; None without files."""
        if files is None:
            return None
        context = create(files)
        self._timers.every(_TLS_CHECK_INTERVAL_S, context.reload_if_changed)
        return context

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()
            self._stop_requested.set()

    def _request_stop(self) -> None:
        self._stop_requested.set()

    def _feeds(self) -> Iterable[Feed]:
        return (self._store, self._view)

    def _collect_common(self) -> Iterable[Metric]:
        feeds = [(feed, {"feed": feed.name.value}) for feed in self._feeds()]
        yield Metric(
            "pearshed_feed_revision",
            "Revision of the feed in force",
            tuple(Sample(feed.revision, labels) for feed, labels in feeds),
        )
        yield Metric(
            "pearshed_feed_confirmed_ago_seconds",
            "Time since the platform confirmed the revision",
            tuple(Sample(min(feed.confirmed_ago_s, 1e9), labels) for feed, labels in feeds),
        )
        yield Metric(
            "pearshed_feed_stale_answers_total",
            "Answers older than what is in force",
            tuple(Sample(feed.stale_responses, labels) for feed, labels in feeds),
            counter=True,
        )
        yield gauge(
            "pearshed_records_refused", "Records refused at present", len(self._store.refused)
        )
        yield counter(
            "pearshed_platform_reads_total", "Reads of the platform", self._platform.reads
        )
        yield counter(
            "pearshed_platform_read_failures_total",
            "Reads of the platform that failed",
            sum(follower.failures for follower in self._followers),
        )


def _describe_feed(feed: Feed) -> Mapping[str, Any]:
    return {
        "revision": feed.revision,
        "confirmed_ago_s": round(feed.confirmed_ago_s, 1) if feed.revision else None,
        "stale_answers": feed.stale_responses,
    }
