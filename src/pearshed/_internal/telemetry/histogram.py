"""A small fixed-size histogram of latencies."""

import bisect

BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 30.0, 120.0)


class LatencyHistogram:
    """Counts latencies in buckets that double; adding one costs under a microsecond."""

    __slots__ = ("_counts", "_sum_s", "_total")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0
        self._total = 0

    @property
    def total(self) -> int:
        """Number of latencies added."""
        return self._total

    @property
    def sum_s(self) -> float:
        """Sum of the latencies, seconds."""
        return self._sum_s

    def add(self, seconds: float) -> None:
        """Add one latency."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self._sum_s += seconds
        self._total += 1

    def cumulative(self) -> dict[float, int]:
        """Count the latencies up to each bucket's bound."""
        counts: dict[float, int] = {}
        running = 0
        for bound, count in zip((*BUCKETS_S, float("inf")), self._counts, strict=True):
            running += count
            counts[bound] = running
        return counts

    def quantile(self, fraction: float) -> float:
        """Find the bound of the bucket that holds a quantile, seconds; 0 when empty."""
        wanted = fraction * self._total
        for bound, running in self.cumulative().items():
            if self._total and running >= wanted:
                return bound
        return 0.0
