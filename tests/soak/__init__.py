"""A randomized soak test: gateway processes, fault injection and a checker."""
