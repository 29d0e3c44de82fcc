"""Simulations of engines, workloads and deployments in virtual time."""
