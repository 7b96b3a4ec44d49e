"""Links and control messages between instances."""
