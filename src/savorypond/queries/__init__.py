"""Query execution: shard selection, attempts, partial answers and merging."""
