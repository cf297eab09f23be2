"""The side process: a sidecar through which one endpoint receives all its requests."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any

from absl import logging

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.errors import AddressInUseError
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.model import SideSettings
from pearshed._internal.side.attempt_manager import AttemptManager
from pearshed._internal.side.endpoint_client import EndpointClient
from pearshed._internal.side.key_ownership import TICK_INTERVAL_S, KeyOwnership
from pearshed._internal.side.keys import KeyTable
from pearshed._internal.side.order import create_order
from pearshed._internal.side.peer_server import PeerServer
from pearshed._internal.side.sessions import SideIdentity, SideSessions
from pearshed._internal.telemetry.metrics import Metric, Sample, counter, gauge
from pearshed._internal.timers import clock
from pearshed._internal.utils.loop_queue import LoopQueue
from pearshed._internal.utils.tls import peer_server_context

# Equals the maximum slots of an endpoint record; threads are started on demand.
_ENDPOINT_THREADS = 1024
_DRAIN_NOTICE_S = 0.2


class SideProcess(Process):
    """Accepts requests from entries and forwards them to the endpoint."""

    def __init__(self, settings: SideSettings) -> None:
        super().__init__(settings.process, settings.platform, is_entry=False)
        self._settings = settings
        self._serving = False
        self._peer_tls = self._create_tls_context(settings.peer_tls, peer_server_context)
        self._client = EndpointClient(
            settings.endpoint_address,
            LoopQueue(asyncio.get_running_loop()),
            settings.connect_timeout_s,
            settings.idle_timeout_s,
            _ENDPOINT_THREADS,
        )
        self._keys = KeyTable(settings.key_retention_s, settings.key_clock_skew_s)
        key_ownership = KeyOwnership(settings.endpoint, self._view)
        self._timers.every(TICK_INTERVAL_S, key_ownership.tick)
        self._attempt_manager = AttemptManager(
            settings.endpoint,
            create_order(settings.order),
            self._timers,
            self._client,
            self._keys,
            key_ownership,
            settings.lease_ms / clock.MILLISECONDS_PER_SECOND,
        )
        identity = SideIdentity(
            settings.process.name, self._incarnation, settings.process.data_centre
        )
        self._sessions = SideSessions(
            identity, settings.peers, self._attempt_manager, self._timers, self._relay
        )
        machine = settings.process.machine
        peers = self._account.add("peers", lambda: machine.peers)
        self._server = PeerServer([self._sessions], peers)
        self._store.subscribe(self._apply_catalogue)
        self._view.subscribe(self._apply_vm_list)
        self._metrics.add(self._collect)

    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the side accepts no requests for its endpoint."""
        reasons = super().not_ready_reasons()
        if self._store.revision and not self._attempt_manager.scheduler.slots:
            reasons.append(f"no record of endpoint {self._settings.endpoint!r}")
        if self._attempt_manager.scheduler.draining:
            reasons.append("draining")
        return reasons

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
        self._attempt_manager.update(catalogue)
        self._sessions.broadcast_load()

    def _apply_vm_list(self) -> None:
        self._attempt_manager.set_leaving(self._view.is_leaving(self._settings.endpoint))
        self._sessions.broadcast_load()

    async def _start(self) -> None:
        listen = self._settings.listen
        try:
            tls = self._peer_tls.create_server_context() if self._peer_tls is not None else None
            await self._server.listen(listen, tls)
            self._serving = True
        except OSError as error:
            raise AddressInUseError(
                f"can't listen on {listen} for entries",
                context=[str(error)],
                hint="the port may be in use, or the IP address may not belong to this machine",
            ) from error
        logging.info("listening for entries on %s", listen)

    async def _finish(self) -> None:
        self._attempt_manager.begin_shutdown()
        self._sessions.broadcast_load()
        await self._attempt_manager.wait_drained()
        await asyncio.sleep(_DRAIN_NOTICE_S)

    def _close(self) -> None:
        if self._serving:
            self._server.close()
        self._client.close()

    def _dump(self) -> Mapping[str, Any]:
        scheduler = self._attempt_manager.scheduler
        return {
            "role": "side",
            "endpoint": self._settings.endpoint,
            "endpoint_address": str(self._settings.endpoint_address),
            "slots": scheduler.slots,
            "running": scheduler.running,
            "queued": scheduler.queued,
            "draining": scheduler.draining,
            "pause_s": round(scheduler.pause_s, 3),
            "service_s": round(scheduler.service_s, 3),
            "answers_kept": self._attempt_manager.retained_runs,
            "keys": len(self._keys),
            "key_verdicts": self._keys.counts,
            "counts": self._attempt_manager.counts,
            "entries": self._sessions.entries,
        }

    def _collect(self) -> Iterable[Metric]:
        scheduler = self._attempt_manager.scheduler
        yield gauge("pearshed_slots", "Requests the endpoint runs at once", scheduler.slots)
        yield gauge("pearshed_slots_used", "Slots running or leased", scheduler.running)
        yield gauge("pearshed_queue_length", "Reservations that wait", scheduler.queued)
        yield gauge("pearshed_draining", "1 while no new work is taken", scheduler.draining)
        yield gauge("pearshed_service_seconds", "Smoothed time of a run", scheduler.service_s)
        yield gauge("pearshed_keys", "Idempotency keys remembered", len(self._keys))
        yield gauge("pearshed_entries", "Entries connected", len(self._sessions.entries))
        yield counter("pearshed_grants_total", "Slots granted", scheduler.grants)
        yield counter("pearshed_leases_expired_total", "Leases not used", scheduler.expired)
        yield Metric(
            "pearshed_refusals_total",
            "Reservations refused, by reason",
            tuple(
                Sample(value, {"reason": pb.RefusalReason.Name(reason)})
                for reason, value in scheduler.refusals.items()
            ),
            counter=True,
        )
        yield Metric(
            "pearshed_runs_total",
            "Runs at the endpoint, by event",
            tuple(
                Sample(value, {"event": name})
                for name, value in self._attempt_manager.counts.items()
            ),
            counter=True,
        )
