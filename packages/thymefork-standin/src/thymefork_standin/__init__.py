"""Small stand-ins of the platform and its callers, for tests only."""
