"""Manages all attempts for one endpoint: reservations, slot grants, runs and responses."""

import asyncio
from collections import Counter
from collections.abc import Iterable

from absl import logging

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.decisions.engine_pauses import parse_pause
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
    ATTEMPT_RETENTION_S,
    AttemptKey,
    RunTable,
    TrackedRun,
    detach_all,
)
from pearshed._internal.side.scheduler import GrantListener, SlotScheduler
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

RESUME_WINDOW_S = 10.0
#: Time after its request's deadline at which a run is aborted, seconds: an endpoint that sends a
#: byte now and then would hold its slot for good.
OVERDUE_RUN_S = 30.0
_SWEEP_INTERVAL_S = 0.5
#: Status with which an endpoint may ask for a pause.
_TURNED_AWAY_STATUS = 503
_KEY_SWEEP_INTERVAL_S = 10.0
_RESPONSE_RETENTION_S = 30.0
#: Longest time for which a response waits for an entry that is silent, seconds.
_MAX_RESPONSE_RETENTION_S = 120.0


class _RunReceiver(ResponseReceiver):
    """Forwards an endpoint's response to its run and notifies the attempt manager of its end."""

    def __init__(self, attempt_manager: "AttemptManager", key: AttemptKey, run: Run) -> None:
        self._attempt_manager = attempt_manager
        self._key = key
        self._run = run

    def set_head(
        self, status: int, headers: tuple[tuple[str, str], ...], until_close: bool
    ) -> None:
        """Store the status, the headers and the framing."""
        self._run.set_head(status, headers, until_close)
        if status == _TURNED_AWAY_STATUS:
            self._attempt_manager.on_turned_away(headers)

    def add(self, content: bytes) -> None:
        """Append bytes of the body."""
        self._run.add(content)

    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        """Finish the run and free its slot."""
        self._run.finish(execution, complete, detail)
        self._attempt_manager.on_run_finished(self._key)


class AttemptManager(GrantListener):
    """Queues reservations, grants slots, runs requests and retains their responses.

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
        self._runs_changed = asyncio.Event()
        timers.every(_SWEEP_INTERVAL_S, self._sweep)
        timers.every(_KEY_SWEEP_INTERVAL_S, keys.sweep)

    @property
    def scheduler(self) -> SlotScheduler:
        """The endpoint's slots."""
        return self._scheduler

    @property
    def counts(self) -> dict[str, int]:
        """Event counts, by event name."""
        return dict(self._counts)

    @property
    def active_runs(self) -> int:
        """Number of requests that the endpoint is running."""
        return self._runs.running

    @property
    def retained_runs(self) -> int:
        """Number of runs whose response is retained, unfinished runs included."""
        return len(self._runs)

    def update(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        self._catalogue = catalogue
        self._key_ownership.update(catalogue)
        record = self._endpoint_record()
        self._scheduler.set_slots(record.slots if record is not None else 0)
        self._apply_draining()

    def set_leaving(self, leaving: bool) -> None:
        """Set whether the VM list shows this VM as leaving."""
        self._leaving = leaving
        self._apply_draining()

    def begin_shutdown(self) -> None:
        """Refuse queued, leased and new reservations from now on; this can't be undone."""
        self._stopping = True
        self._apply_draining()

    async def wait_drained(self) -> None:
        """Wait until each response is acknowledged or its entry has missed the resume window."""
        self._runs_changed.clear()
        while any(not self._is_abandoned(tracked) for _, tracked in self._runs.items()):
            await self._runs_changed.wait()
            self._runs_changed.clear()

    def connection_made(self, entry_incarnation: str, writer: FrameWriter) -> None:
        """Use a new connection for an entry's frames."""
        self._writers[entry_incarnation] = writer

    def connection_lost(self, entry_incarnation: str, writer: FrameWriter) -> None:
        """Drop a connection and its reservations; its runs wait for the entry to reconnect."""
        if self._writers.get(entry_incarnation) is not writer:
            return
        del self._writers[entry_incarnation]
        for key in [key for key in self._reservations if key[0] == entry_incarnation]:
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
            self._cancel(key, "cancelled by the entry")
        elif kind == "resume":
            self._resume(key, frame.resume)
        elif kind == "acknowledge":
            self._acknowledge(key)

    def on_granted(self, reservation: Reservation) -> None:
        """Send the grant to the entry."""
        lease_ms = round(self._lease_s * clock.MILLISECONDS_PER_SECOND)
        self._send(
            reservation.entry_incarnation,
            pb.Frame(attempt=reservation.attempt, grant=pb.Grant(lease_ms=lease_ms)),
        )

    def on_refused(
        self, reservation: Reservation, reason: pb.RefusalReason, retry_after_s: float
    ) -> None:
        """Release the reservation and send the refusal to the entry."""
        key = (reservation.entry_incarnation, reservation.attempt)
        self._reservations.pop(key, None)
        self._release_key(reservation)
        self._send(
            reservation.entry_incarnation,
            frames.refuse(reservation.attempt, reason, retry_after_s=retry_after_s),
        )

    def on_turned_away(self, headers: Iterable[tuple[str, str]]) -> None:
        """Pause if the endpoint asks for it in the response to a run."""
        value = next((value for name, value in headers if name.lower() == "retry-after"), "")
        if not value:
            return
        asked = parse_pause(value.encode("latin-1", "replace"))
        logging.info(
            "the endpoint asks for a pause of %s s: granting nothing for %.2f s",
            asked.text,
            asked.pause_s,
        )
        self._counts["pauses"] += 1
        self._scheduler.pause(asked.pause_s)

    def on_run_finished(self, key: AttemptKey) -> None:
        """Free the slot of a run that has ended."""
        tracked = self._runs.get(key)
        if tracked is None:
            raise InvariantBrokenError(f"attempt {key} finished but has no run")
        tracked.finished_at = clock.now()
        self._counts["runs_complete" if tracked.run.complete else "runs_broken"] += 1
        if tracked.run.cancelled:
            self._counts["runs_wasted"] += 1
        if tracked.idempotency_key:
            self._finish_key(tracked, key)
        self._scheduler.finish_run(tracked.rank, tracked.run.running_s)
        if tracked.run.cancelled:
            self._runs.remove(key)
        self._runs_changed.set()

    def _finish_key(self, tracked: TrackedRun, key: AttemptKey) -> None:
        if tracked.run.execution is Execution.NOT_RUN:
            self._keys.release(tracked.idempotency_key, *key)
        else:
            self._keys.mark_finished(tracked.idempotency_key)

    def _endpoint_record(self) -> Endpoint | None:
        return self._catalogue.endpoints.get(self._endpoint_name)

    def _apply_draining(self) -> None:
        record = self._endpoint_record()
        record_draining = record is not None and record.draining
        self._scheduler.set_draining(self._stopping or self._leaving or record_draining)

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
            idempotency_key=frame.idempotency_key,
            idempotent=frame.idempotent,
        )
        self._reservations[key] = reservation
        self._scheduler.reserve(reservation)

    def _claim_key(self, key: AttemptKey, frame: pb.Reserve) -> bool:
        """Claim a reservation's idempotency key.

        :returns: whether the request may run; if not, the response or refusal has been sent.
        """
        entry_incarnation, attempt = key
        ownership = self._key_ownership.owned_since(frame.idempotency_key)
        if isinstance(ownership, OwnedElsewhere):
            detail = f"endpoint {ownership.owner} is the home of the key"
            self._send(
                entry_incarnation, frames.refuse(attempt, pb.REFUSAL_WRONG_HOME, detail=detail)
            )
            return False
        verdict = self._keys.claim(
            frame.idempotency_key, frame.fingerprint, entry_incarnation, attempt, ownership
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
        self._runs.add(key, TrackedRun(replay, finished_at=clock.now()))
        self._attach(key, replay)
        return False

    def _start(self, key: AttemptKey, body: pb.Body) -> None:
        entry_incarnation, attempt = key
        if self._runs.has_run(key):
            self._counts["repeated_bodies"] += 1
            return
        reservation = self._reservations.get(key)
        if reservation is None or not self._scheduler.start_run(reservation):
            self._counts["late_bodies"] += 1
            self._drop_reservation(key)
            self._send(entry_incarnation, frames.refuse(attempt, pb.REFUSAL_LEASE_EXPIRED))
            return
        del self._reservations[key]
        run = Run(attempt, reservation.idempotent)
        tracked = TrackedRun(
            run,
            idempotency_key=reservation.idempotency_key,
            rank=reservation.tier.rank,
            deadline=reservation.deadline,
        )
        self._runs.add(key, tracked)
        if reservation.idempotency_key:
            self._keys.mark_running(reservation.idempotency_key, run)
        self._attach(key, run)
        self._counts["runs"] += 1
        tracked.call = self._client.start(
            frames.call_of(body),
            _RunReceiver(self, key, run),
            fresh=not reservation.idempotent,
            head_timeout_s=max(0.0, reservation.deadline - clock.now()) + OVERDUE_RUN_S,
        )

    def _attach(self, key: AttemptKey, run: Run) -> None:
        writer = self._writers.get(key[0])
        if writer is not None:
            run.attach(writer)

    def _cancel(self, key: AttemptKey, reason: str) -> None:
        self._drop_reservation(key)
        tracked = self._runs.get(key)
        if tracked is None:
            return
        tracked.run.detach()
        tracked.run.cancel()
        if tracked.run.finished:
            self._counts["answers_unwanted"] += 1
            self._runs.remove(key)
        elif tracked.run.idempotent and tracked.call is not None:
            logging.info(
                "cancelling attempt %s of entry incarnation %s: %s", key[1], key[0], reason
            )
            self._counts["runs_cancelled"] += 1
            tracked.call.cancel()

    def _resume(self, key: AttemptKey, resume: pb.Resume) -> None:
        """Resume a response on a new connection, or report that the attempt has none.

        The old connection may still deliver the attempt's body. The attempt is invalidated before
        "not run" is reported, so that a late body can't run.
        """
        entry_incarnation, attempt = key
        tracked = self._runs.get(key)
        if tracked is not None:
            writer = self._writers[entry_incarnation]
            tracked.run.attach(writer, resume.offset, resume.head_received)
            self._counts["resumes"] += 1
            return
        self._drop_reservation(key)
        self._runs.invalidate(key)
        age_s = resume.age_ms / clock.MILLISECONDS_PER_SECOND
        if self._runs.has_run(key) or age_s > ATTEMPT_RETENTION_S:
            end = pb.End(execution=pb.EXECUTION_MAY_HAVE_RUN, detail="the answer is not kept")
            self._send(entry_incarnation, pb.Frame(attempt=attempt, end=end))
            return
        self._send(entry_incarnation, frames.refuse(attempt, pb.REFUSAL_LEASE_EXPIRED))

    def _acknowledge(self, key: AttemptKey) -> None:
        tracked = self._runs.get(key)
        if tracked is not None and tracked.run.finished:
            self._runs.remove(key)
            self._runs_changed.set()

    def _drop_reservation(self, key: AttemptKey) -> None:
        reservation = self._reservations.pop(key, None)
        if reservation is not None:
            self._release_key(reservation)
            self._scheduler.withdraw(reservation)

    def _release_key(self, reservation: Reservation) -> None:
        if reservation.idempotency_key:
            self._keys.release(
                reservation.idempotency_key, reservation.entry_incarnation, reservation.attempt
            )

    def _send(self, entry_incarnation: str, frame: pb.Frame) -> None:
        writer = self._writers.get(entry_incarnation)
        if writer is not None:
            writer.send(frame)

    def _is_abandoned(self, tracked: TrackedRun) -> bool:
        """Return whether a run has finished and its entry has missed the resume window."""
        return tracked.run.finished and tracked.run.detached_s > RESUME_WINDOW_S

    def _sweep(self) -> None:
        self._scheduler.refuse_expired()
        now = clock.now()
        for key, tracked in self._runs.items():
            self._sweep_run(key, tracked, now)
        self._runs.sweep()
        if self._stopping:
            self._runs_changed.set()

    def _sweep_run(self, key: AttemptKey, tracked: TrackedRun, now: float) -> None:
        if tracked.run.finished and now > self._retained_until(tracked):
            self._counts["answers_unclaimed"] += 1
            self._runs.remove(key)
        elif self._is_unclaimed(tracked, now) and not tracked.run.cancelled:
            self._cancel(key, "the entry did not reconnect")
        if not tracked.run.finished and now > tracked.deadline + OVERDUE_RUN_S:
            self._abort_overdue(key, tracked)

    def _retained_until(self, tracked: TrackedRun) -> float:
        """Return the clock reading until which a finished run's response is kept."""
        latest = tracked.finished_at + _MAX_RESPONSE_RETENTION_S
        return max(tracked.finished_at + _RESPONSE_RETENTION_S, min(tracked.deadline, latest))

    def _is_unclaimed(self, tracked: TrackedRun, now: float) -> bool:
        """Return whether a run's entry has missed the resume window.

        An entry that can't have the request run elsewhere may come back until its deadline.
        """
        if tracked.run.detached_s <= RESUME_WINDOW_S:
            return False
        may_run_elsewhere = tracked.run.idempotent and not tracked.run.sent_bytes
        return may_run_elsewhere or now > tracked.deadline

    def _abort_overdue(self, key: AttemptKey, tracked: TrackedRun) -> None:
        """Abort a run that goes on long after its caller has left."""
        if tracked.call is None or tracked.call.cancelled:
            return
        logging.warning("aborting attempt %s of entry incarnation %s: overdue", key[1], key[0])
        self._counts["runs_overdue"] += 1
        tracked.call.cancel()
