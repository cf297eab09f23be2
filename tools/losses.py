"""Counts what callers lost, from the logs of gateways alone: by route, customer, window and cause.

``python -m tools.losses [--window SECONDS] LOG...``. A request is lost if it got no complete
response, and late if its first event came after the route's target or a pause was longer than the
route allows. The cause of a late one is where most of its time went.
"""

import argparse
import collections
import datetime
import pathlib
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from pearshed._internal.telemetry.log_lines import LogLine, read_log

#: Rows printed for each grouping.
MAX_ROWS = 12
_IN_TIME = "in time"
_LATE = "late"
_LOST = "lost"


@dataclass(frozen=True, slots=True)
class Loss:
    """What became of one request.

    :ivar result: in time, late or lost.
    :ivar time: of its last log line, seconds since the epoch.
    :ivar cause: why it was late or lost; empty if it was in time.
    """

    request: str
    route: str
    customer: str
    time: float
    result: str
    cause: str = ""


@dataclass(slots=True)
class _History:
    """Log lines of one request."""

    waited_ms: float = 0.0
    attempts: list[LogLine] = field(default_factory=list)
    end: LogLine | None = None


def classify(lines: Iterable[LogLine]) -> Iterator[Loss]:
    """Yield what became of each request that the lines of gateways mention."""
    histories: dict[str, _History] = collections.defaultdict(_History)
    for line in lines:
        request = line.fields.get("request")
        if not isinstance(request, str) or not line.event.startswith("request."):
            continue
        history = histories[request]
        if line.event in ("request.admission", "request.place"):
            history.waited_ms += float(line.fields.get("waited_ms", 0))
        elif line.event == "request.attempt":
            history.attempts.append(line)
        elif line.event in ("request.refused", "request.broken_off", "request.cancelled"):
            history.end = line
    for request, history in histories.items():
        loss = _classify_one(request, history)
        if loss is not None:
            yield loss


def _classify_one(request: str, history: _History) -> Loss | None:
    answered = [line for line in history.attempts if line.fields.get("outcome") == "Answered"]
    last = answered[-1] if answered else history.end
    if last is None:
        last = history.attempts[-1] if history.attempts else None
    if last is None or not last.fields.get("route"):
        # Without a route the request isn't one that the configuration allows.
        return None
    names = (request, str(last.fields["route"]), str(last.fields.get("customer", "")))
    time_s = _seconds(last.time)
    if not answered:
        return Loss(*names, time_s, _LOST, _describe_end(last))
    cause = _cause_of_delay(answered[-1].fields, history.waited_ms)
    return Loss(*names, time_s, _LATE if cause else _IN_TIME, cause)


def _describe_end(line: LogLine) -> str:
    if line.event == "request.refused":
        return f"refused {line.fields.get('status')}: {line.fields.get('reason')}"
    if line.event == "request.cancelled":
        return str(line.fields.get("cause", "cancelled"))
    kind = "broken off" if line.event == "request.broken_off" else "failed"
    return f"{kind}: {line.fields.get('reason') or line.fields.get('outcome')}"


def _cause_of_delay(attempt: Mapping[str, object], waited_ms: float) -> str:
    """Return why a response was late; empty if it was in time."""
    target_ms = _number(attempt, "target_ms")
    first_ms = _number(attempt, "first_ms") or _number(attempt, "elapsed_ms")
    if target_ms and first_ms > target_ms:
        if waited_ms * 2 >= first_ms:
            return "waited for admission"
        return "more than one attempt" if _number(attempt, "attempt") > 1 else "slow at the engine"
    gap_ms = _number(attempt, "gap_target_ms")
    if gap_ms and _number(attempt, "longest_gap_ms") > gap_ms:
        return "a pause in the stream"
    return ""


def _number(fields: Mapping[str, object], name: str) -> float:
    value = fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _seconds(time: str) -> float:
    return datetime.datetime.fromisoformat(time).timestamp()


def render(losses: Iterable[Loss], window_s: float) -> Iterator[str]:
    """Yield the lines of the report.

    :param window_s: length of a window, seconds.
    """
    all_losses = list(losses)
    if not all_losses:
        yield "no request in these logs"
        return
    start = min(loss.time for loss in all_losses)
    yield from _table("route", all_losses, lambda loss: loss.route)
    yield from _table("customer", all_losses, lambda loss: loss.customer or "(public)")
    yield from _table(
        "window", all_losses, lambda loss: f"{(loss.time - start) // window_s * window_s:6.0f} s"
    )
    causes = collections.Counter(
        (loss.result, loss.route, loss.cause) for loss in all_losses if loss.cause
    )
    yield "cause"
    for (result, route, cause), count in causes.most_common(MAX_ROWS * 2):
        yield f"  {count:6d}  {result:5s} {route:16s} {cause}"


def _table(title: str, losses: Iterable[Loss], key: Callable[[Loss], str]) -> Iterator[str]:
    counts: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for loss in losses:
        counts[key(loss)][loss.result] += 1
    rows = sorted(counts.items(), key=lambda row: (-row[1][_LATE] - row[1][_LOST], row[0]))
    yield f"{title:24s} {'requests':>9s} {'in time':>9s} {'late':>7s} {'lost':>7s}"
    for name, count in rows[:MAX_ROWS]:
        numbers = (count.total(), count[_IN_TIME], count[_LATE], count[_LOST])
        yield "  {:22s} {:9d} {:9d} {:7d} {:7d}".format(name, *numbers)


def main() -> int:
    """Print the report."""
    parser = argparse.ArgumentParser(prog="python -m tools.losses", description=__doc__)
    parser.add_argument("files", nargs="+", type=pathlib.Path, metavar="LOG")
    parser.add_argument("--window", type=float, default=5.0, help="seconds (default: 5)")
    options = parser.parse_args()
    lines = (line for path in options.files for line in read_log(path))
    print("\n".join(render(classify(lines), options.window)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
