"""Which statuses of responses are defined (RFC 9110, section 15)."""

_FIRST_INTERIM = 100
_FIRST_FINAL = 200
_LAST = 599


def is_valid(status: int) -> bool:
    """Return whether a status has a class; one without is treated as a server's error."""
    return _FIRST_INTERIM <= status <= _LAST


def is_final(status: int) -> bool:
    """Return whether a status is that of an answer."""
    return _FIRST_FINAL <= status <= _LAST


def is_interim(status: int) -> bool:
    """Return whether another response follows."""
    return _FIRST_INTERIM <= status < _FIRST_FINAL
