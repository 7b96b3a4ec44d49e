"""Service files: their sections, rules and units."""
