"""The controllers that own the state which filters read."""
