"""Placement of services on instances, and forwarding of queries to owners."""
