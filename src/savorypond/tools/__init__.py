"""Programs for operators and for load."""
