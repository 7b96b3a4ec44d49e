"""SWIM membership: which instances are in the fleet and can own work."""
