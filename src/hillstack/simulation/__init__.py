"""Engines, workloads and fleets in virtual time."""
