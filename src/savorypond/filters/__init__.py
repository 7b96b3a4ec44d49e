"""The filter chain that each request walks."""
