"""Service files: parse and validate the description of services."""
