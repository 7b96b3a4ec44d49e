"""Non-idempotent calls under tickets, each run at most once."""
