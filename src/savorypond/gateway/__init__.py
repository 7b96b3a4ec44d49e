"""Routes requests to registered backend servers, one server or many shards."""
