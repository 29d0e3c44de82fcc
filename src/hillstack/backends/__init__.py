"""Clients of the back ends: requests, cache events and load."""
