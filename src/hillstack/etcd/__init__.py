"""Clients of the platform: key-value service and machine list."""
