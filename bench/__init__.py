"""Measurements of the system, with baselines in the same run."""
