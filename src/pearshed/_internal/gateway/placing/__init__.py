"""Placement by readiness: the engine at which a request has its first event soonest."""
