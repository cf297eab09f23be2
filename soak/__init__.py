"""A randomized soak: the real gateways and sides as processes, with faults from outside."""
