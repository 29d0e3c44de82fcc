"""Clients that send requests to back ends and read their cache events, status and load."""
