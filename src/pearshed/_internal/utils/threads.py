"""Blocking work beside an event loop."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

_Value = TypeVar("_Value")


async def run_in_daemon_thread(work: Callable[[], _Value], name: str) -> _Value:
    """Run blocking work on a thread that does not hold up the end of the process.

    Executors of the standard library join their threads when the interpreter ends, so a watch
    that still waits would delay each stop by its whole wait.

    :raises Exception: whatever the work raises.
    """
    loop = asyncio.get_running_loop()
    outcome: asyncio.Future[_Value] = loop.create_future()

    def finish(settle: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            loop.call_soon_threadsafe(lambda: None if outcome.done() else settle())

    def run() -> None:
        try:
            value = work()
        except Exception as error:
            failure = error
            finish(lambda: outcome.set_exception(failure))
        else:
            finish(lambda: outcome.set_result(value))

    threading.Thread(target=run, name=name, daemon=True).start()
    return await outcome
