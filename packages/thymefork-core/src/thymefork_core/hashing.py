"""Hashes that are the same in every process."""

import xxhash

__all__ = ["stable_hash"]


def stable_hash(text):
    """Return a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())
