"""Communication between instances: links for requests, and control messages."""
