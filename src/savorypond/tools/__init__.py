"""Command-line programs for operators and for load tests."""
