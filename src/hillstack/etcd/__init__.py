"""Clients of the platform's key-value service and machine list."""
