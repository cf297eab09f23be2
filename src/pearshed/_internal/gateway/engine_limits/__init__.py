"""Limits on the requests that an engine gets from all gateways together."""
