"""Which instance works with which backend servers, and forwarding to it."""
