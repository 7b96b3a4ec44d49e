"""Rendezvous hashing: instances agree on who is responsible for a key."""

from xxhash import xxh64_intdigest


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of the candidate ``name`` for ``key``; the highest wins."""
    return xxh64_intdigest(f"{key} {name}".encode())
