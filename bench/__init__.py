"""Benchmarks: routing policies against baselines of the same run, and the cost per process."""
