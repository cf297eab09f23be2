"""Randomized fault-injection test: runs real gateways and sides and checks invariants."""
