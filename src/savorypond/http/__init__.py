"""HTTP/1.1 on both sides: servers, connections, requests and responses."""
