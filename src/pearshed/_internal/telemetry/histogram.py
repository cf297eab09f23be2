"""Latency histograms, by aioprometheus."""

from aioprometheus.histogram import Histogram

#: Upper bounds of the buckets, seconds; each is twice the one before over the range callers notice.
BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 30.0, 120.0)


def latency_histogram() -> Histogram:
    """Create an empty histogram of latencies, seconds."""
    return Histogram(*BUCKETS_S)
