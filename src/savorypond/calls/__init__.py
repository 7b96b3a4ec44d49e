"""Non-idempotent calls, each run at most once under a ticket."""
