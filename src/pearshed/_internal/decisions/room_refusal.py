"""What the client of a request gets that is ended for lack of room.

Load: many connections are ended in the same moment, and ordinary requests may be among them. Each
gets a refusal that every client may repeat after, and they come back at different times.
"""

import random

NO_ROOM = "too much is held for other requests; this one was not run"
#: Earliest and latest return, whole seconds as HTTP has it.
_RETURN_AFTER_S = (1, 3)
_RNG = random.Random()


def return_after_s(rng: random.Random | None = None) -> int:
    """Return after which time the client may send the request again, seconds."""
    return (rng or _RNG).randint(*_RETURN_AFTER_S)
