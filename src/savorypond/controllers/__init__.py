"""Controllers, which own the state that filters read."""
