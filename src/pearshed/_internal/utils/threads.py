"""Runs blocking calls in threads for an event loop."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

_Value = TypeVar("_Value")


async def run_in_daemon_thread(function: Callable[[], _Value], name: str) -> _Value:
    """Run a blocking function in a thread that doesn't delay the exit of the process.

    Executors of the standard library join their threads when the interpreter exits, so a pending
    long poll would delay every exit by up to its timeout.

    :raises Exception: any exception that the function raises.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[_Value] = loop.create_future()

    def call_on_loop(complete: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed
            loop.call_soon_threadsafe(lambda: None if future.done() else complete())

    def run() -> None:
        try:
            value = function()
        except Exception as error:
            exception = error
            call_on_loop(lambda: future.set_exception(exception))
        else:
            call_on_loop(lambda: future.set_result(value))

    threading.Thread(target=run, name=name, daemon=True).start()
    return await future
