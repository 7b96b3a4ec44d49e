"""HTTP/1.1 server, client and message types."""
