"""Ids chosen by callers, as keys of tables: of bounded length."""

import hashlib

#: Longer ids are replaced by their digest.
MAX_ID_CHARACTERS = 64
_DIGEST_BYTES = 16


def bounded_id(text: str) -> str:
    """Return an id that is equal for equal text, and short whatever the text is."""
    if len(text) <= MAX_ID_CHARACTERS:
        return text
    digest = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()
