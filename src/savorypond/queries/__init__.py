"""Queries: the shards asked, attempts, partial answers and their merging."""
