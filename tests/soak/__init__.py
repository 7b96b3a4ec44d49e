"""A randomized soak: real gateway processes, faults from outside, and a judge."""
