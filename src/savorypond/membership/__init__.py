"""Which instances there are, by probes between them."""
