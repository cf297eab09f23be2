"""How requests of competing callers wait at a gateway until an engine takes them."""
