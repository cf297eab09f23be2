"""The place of order for one endpoint: every request that it gets passes through here."""

import asyncio
from collections import Counter

from absl import logging

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.errors import InvariantBrokenError
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.records import Endpoint
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.writer import FrameWriter
from pearshed._internal.side.endpoint_client import (
    EndpointClient,
    ResponseReceiver,
)
from pearshed._internal.side.key_ownership import KeyOwnership, OwnedElsewhere
from pearshed._internal.side.keys import KeyClaimed, KeyRefusal, KeyTable
from pearshed._internal.side.order import OrderPolicy, Reservation
from pearshed._internal.side.run import Run
from pearshed._internal.side.run_table import (
    MEMORY_S,
    ActiveRun,
    AttemptKey,
    RunTable,
    detach_all,
)
from pearshed._internal.side.scheduler import GrantListener, SlotScheduler
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

RESUME_WINDOW_S = 10.0
_SWEEP_PERIOD_S = 0.5
_KEY_SWEEP_PERIOD_S = 10.0
_FINISHED_KEPT_S = 30.0


class _RunReceiver(ResponseReceiver):
    """Passes an endpoint's answer to its run and tells the attempt manager of the end."""

    def __init__(self, attempt_manager: "AttemptManager", key: AttemptKey, run: Run) -> None:
        self._attempt_manager = attempt_manager
        self._key = key
        self._run = run

    def set_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the status and the headers."""
        self._run.set_head(status, headers)

    def add(self, content: bytes) -> None:
        """Take bytes of the body."""
        self._run.add(content)

    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        """Take the end."""
        self._run.finish(execution, complete, detail)
        self._attempt_manager.run_finished(self._key)


class AttemptManager(GrantListener):
    """Takes reservations, grants slots in order, runs requests and keeps their answers.

    :param endpoint: name of the endpoint's record.
    """

    def __init__(
        self,
        endpoint: str,
        policy: OrderPolicy,
        timers: TimerService,
        client: EndpointClient,
        keys: KeyTable,
        key_ownership: KeyOwnership,
        lease_s: float,
    ) -> None:
        self._endpoint_name = endpoint
        self._client = client
        self._keys = keys
        self._key_ownership = key_ownership
        self._lease_s = lease_s
        self._scheduler = SlotScheduler(policy, timers, self, lease_s)
        self._catalogue = Catalogue()
        self._writers: dict[str, FrameWriter] = {}
        self._reservations: dict[AttemptKey, Reservation] = {}
        self._runs = RunTable()
        self._counts: Counter[str] = Counter()
        self._leaving = False
        self._stopping = False
        self._idle = asyncio.Event()
        timers.every(_SWEEP_PERIOD_S, self._sweep)
        timers.every(_KEY_SWEEP_PERIOD_S, keys.sweep)

    @property
    def scheduler(self) -> SlotScheduler:
        """The endpoint's slots."""
        return self._scheduler

    @property
    def counts(self) -> dict[str, int]:
        """Events so far, by name."""
        return dict(self._counts)

    @property
    def active_runs(self) -> int:
        """Requests that the endpoint is running."""
        return self._runs.active

    @property
    def kept_runs(self) -> int:
        """Runs whose answer is kept, those that run included."""
        return len(self._runs)

    def update(self, catalogue: Catalogue) -> None:
        """Take a new catalogue."""
        self._catalogue = catalogue
        self._key_ownership.update(catalogue)
        own = self._own_record()
        self._scheduler.set_slots(own.slots if own is not None else 0)
        self._apply_draining()

    def set_leaving(self, leaving: bool) -> None:
        """Note whether the VM list shows this VM as leaving."""
        self._leaving = leaving
        self._apply_draining()

    def stop_taking_work(self) -> None:
        """Refuse all that waits and all that comes, for good."""
        self._stopping = True
        self._apply_draining()

    async def wait_settled(self) -> None:
        """Wait until every answer has been delivered or given up by its entry."""
        self._idle.clear()
        while any(not self._is_settled(active) for _, active in self._runs.items()):
            await self._idle.wait()
            self._idle.clear()

    def connected(self, entry_incarnation: str, writer: FrameWriter) -> None:
        """Note the connection that carries an entry's frames from now on."""
        self._writers[entry_incarnation] = writer

    def disconnected(self, entry_incarnation: str, writer: FrameWriter) -> None:
        """Note that a connection is gone; its runs wait for the next one."""
        if self._writers.get(entry_incarnation) is not writer:
            return
        del self._writers[entry_incarnation]
        for key in [held for held in self._reservations if held[0] == entry_incarnation]:
            self._drop_reservation(key)
        detach_all(self._runs.items(), entry_incarnation)

    def handle(self, entry_incarnation: str, frame: pb.Frame) -> None:
        """Handle a frame of an attempt."""
        kind = frame.WhichOneof("kind")
        key = (entry_incarnation, frame.attempt)
        if kind == "reserve":
            self._reserve(key, frame.reserve)
        elif kind == "body":
            self._start(key, frame.body)
        elif kind == "withdraw":
            self._drop_reservation(key)
        elif kind == "cancel":
            self._cancel(key, "cancelled")
        elif kind == "resume":
            self._resume(key, frame.resume)
        elif kind == "acknowledge":
            self._acknowledge(key)

    def granted(self, reservation: Reservation) -> None:
        """Tell the entry that a slot is held for it."""
        lease_ms = round(self._lease_s * clock.MILLISECONDS_PER_SECOND)
        self._send(
            reservation.entry_incarnation,
            pb.Frame(attempt=reservation.attempt, grant=pb.Grant(lease_ms=lease_ms)),
        )

    def refused(
        self, reservation: Reservation, reason: pb.RefusalReason, retry_after_s: float
    ) -> None:
        """Tell the entry that the reservation has ended without a run."""
        key = (reservation.entry_incarnation, reservation.attempt)
        self._reservations.pop(key, None)
        self._release_key(reservation)
        self._send(
            reservation.entry_incarnation,
            frames.refuse(reservation.attempt, reason, retry_after_s=retry_after_s),
        )

    def run_finished(self, key: AttemptKey) -> None:
        """Free the slot of a run that has ended."""
        active = self._runs.get(key)
        if active is None:
            raise InvariantBrokenError(f"attempt {key} has ended without a run")
        active.finished_at = clock.now()
        self._counts["runs_complete" if active.run.complete else "runs_broken"] += 1
        if active.run.cancelled:
            self._counts["runs_wasted"] += 1
        if active.idempotency_key:
            self._note_key_finished(active, key)
        self._scheduler.finish(active.rank, active.run.running_s)
        if active.run.cancelled:
            self._runs.forget(key)
        self._idle.set()

    def _note_key_finished(self, active: ActiveRun, key: AttemptKey) -> None:
        if active.run.execution is Execution.NOT_RUN:
            self._keys.release(active.idempotency_key, *key)
        else:
            self._keys.run_finished(active.idempotency_key)

    def _own_record(self) -> Endpoint | None:
        return self._catalogue.endpoints.get(self._endpoint_name)

    def _apply_draining(self) -> None:
        own = self._own_record()
        by_record = own is not None and own.draining
        self._scheduler.set_draining(self._stopping or self._leaving or by_record)

    def _reserve(self, key: AttemptKey, frame: pb.Reserve) -> None:
        entry_incarnation, attempt = key
        if key in self._reservations or self._runs.has_seen(key):
            self._counts["repeated_reservations"] += 1
            return
        request_class = self._catalogue.classes.get(frame.class_name)
        if request_class is None:
            detail = f"the side does not know class {frame.class_name!r} yet"
            self._send(
                entry_incarnation, frames.refuse(attempt, pb.REFUSAL_UNKNOWN_CLASS, detail=detail)
            )
            return
        if frame.idempotency_key and not self._claim_key(key, frame):
            return
        customer = self._catalogue.customers.get(frame.customer)
        reservation = Reservation(
            entry_incarnation=entry_incarnation,
            attempt=attempt,
            request_class=request_class,
            tier=self._catalogue.tier_of(request_class),
            customer=frame.customer,
            arrived_at=clock.now(),
            deadline=clock.now() + frame.deadline_ms / clock.MILLISECONDS_PER_SECOND,
            weight=customer.weight if customer is not None else 1.0,
            key=frame.idempotency_key,
            idempotent=frame.idempotent,
        )
        self._reservations[key] = reservation
        self._scheduler.reserve(reservation)

    def _claim_key(self, key: AttemptKey, frame: pb.Reserve) -> bool:
        """Claim a reservation's idempotency key.

        :returns: whether the request may run; if not, the entry has been told.
        """
        entry_incarnation, attempt = key
        since = self._key_ownership.owned_since(frame.idempotency_key)
        if isinstance(since, OwnedElsewhere):
            detail = f"endpoint {since.owner} is the home of the key"
            self._send(
                entry_incarnation, frames.refuse(attempt, pb.REFUSAL_WRONG_HOME, detail=detail)
            )
            return False
        verdict = self._keys.claim(
            frame.idempotency_key, frame.fingerprint, entry_incarnation, attempt, since
        )
        if isinstance(verdict, KeyClaimed):
            return True
        if isinstance(verdict, KeyRefusal):
            refusal = frames.refuse(
                attempt,
                verdict.reason,
                retry_after_s=verdict.retry_after_s,
                may_have_run=verdict.may_have_run,
                detail=verdict.detail,
            )
            self._send(entry_incarnation, refusal)
            return False
        replay = verdict.run.replay(attempt)
        self._runs.add(key, ActiveRun(replay, finished_at=clock.now()))
        self._attach(key, replay)
        return False

    def _start(self, key: AttemptKey, body: pb.Body) -> None:
        entry_incarnation, attempt = key
        if self._runs.has_run(key):
            self._counts["repeated_bodies"] += 1
            return
        reservation = self._reservations.get(key)
        if reservation is None or not self._scheduler.claim(reservation):
            self._counts["late_bodies"] += 1
            self._drop_reservation(key)
            self._send(entry_incarnation, frames.refuse(attempt, pb.REFUSAL_LEASE_EXPIRED))
            return
        del self._reservations[key]
        run = Run(attempt, reservation.idempotent)
        active = ActiveRun(run, idempotency_key=reservation.key, rank=reservation.tier.rank)
        self._runs.add(key, active)
        if reservation.key:
            self._keys.run_started(reservation.key, run)
        self._attach(key, run)
        self._counts["runs"] += 1
        active.call = self._client.start(
            frames.call_of(body), _RunReceiver(self, key, run), fresh=not reservation.idempotent
        )

    def _attach(self, key: AttemptKey, run: Run) -> None:
        writer = self._writers.get(key[0])
        if writer is not None:
            run.attach(writer)

    def _cancel(self, key: AttemptKey, reason: str) -> None:
        self._drop_reservation(key)
        active = self._runs.get(key)
        if active is None:
            return
        active.run.detach()
        active.run.cancel()
        if active.run.finished:
            self._counts["answers_unwanted"] += 1
            self._runs.forget(key)
        elif active.run.idempotent and active.call is not None:
            logging.info("run %s of entry %s %s", key[1], key[0], reason)
            self._counts["runs_cancelled"] += 1
            active.call.cancel()

    def _resume(self, key: AttemptKey, resume: pb.Resume) -> None:
        """Continue an answer on a new connection, or prove that there is none.

        A body may still be under way on the old connection. Once the entry has been told that
        its request was not run, that body must never run.
        """
        entry_incarnation, attempt = key
        active = self._runs.get(key)
        if active is not None:
            writer = self._writers[entry_incarnation]
            active.run.attach(writer, resume.offset, resume.head_received)
            self._counts["resumes"] += 1
            return
        self._drop_reservation(key)
        self._runs.void(key)
        age_s = resume.age_ms / clock.MILLISECONDS_PER_SECOND
        if self._runs.has_run(key) or age_s > MEMORY_S:
            end = pb.End(execution=pb.EXECUTION_MAY_HAVE_RUN, detail="the answer is not kept")
            self._send(entry_incarnation, pb.Frame(attempt=attempt, end=end))
            return
        self._send(entry_incarnation, frames.refuse(attempt, pb.REFUSAL_LEASE_EXPIRED))

    def _acknowledge(self, key: AttemptKey) -> None:
        active = self._runs.get(key)
        if active is not None and active.run.finished:
            self._runs.forget(key)
            self._idle.set()

    def _drop_reservation(self, key: AttemptKey) -> None:
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self._release_key(reservation)
            self._scheduler.withdraw(reservation)

    def _release_key(self, reservation: Reservation) -> None:
        if reservation.key:
            self._keys.release(reservation.key, reservation.entry_incarnation, reservation.attempt)

    def _send(self, entry_incarnation: str, frame: pb.Frame) -> None:
        writer = self._writers.get(entry_incarnation)
        if writer is not None:
            writer.send(frame)

    def _is_settled(self, active: ActiveRun) -> bool:
        """Tell whether a run needs nothing more from this process."""
        return active.run.finished and active.run.detached_s > RESUME_WINDOW_S

    def _sweep(self) -> None:
        self._scheduler.refuse_expired()
        moment = clock.now()
        for key, active in self._runs.items():
            self._sweep_run(key, active, moment)
        self._runs.sweep()
        if self._stopping:
            self._idle.set()

    def _sweep_run(self, key: AttemptKey, active: ActiveRun, moment: float) -> None:
        if active.run.finished and moment - active.finished_at > _FINISHED_KEPT_S:
            self._counts["answers_unclaimed"] += 1
            self._runs.forget(key)
        elif active.run.detached_s > RESUME_WINDOW_S and not active.run.cancelled:
            self._cancel(key, "lost its entry")
