"""The operators' command line: check, apply and report."""
