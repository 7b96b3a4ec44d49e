"""A gateway that routes requests to single backend servers or to many shards."""
