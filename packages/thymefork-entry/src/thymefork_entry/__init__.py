"""The daemon of an entry instance: circuits components around the node."""
