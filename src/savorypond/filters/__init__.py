"""The filter chain that each query passes through."""
