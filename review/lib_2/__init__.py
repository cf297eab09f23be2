"""Stand-ins and tools of the review's second part; they use the standard library only."""
