"""Placement policies, one per module, behind a common interface."""
