"""Adapter to the protocol of the platform on which hillstack is deployed.

The package defines the platform's names and formats and makes the calls to its runners and its
store. It makes no routing decisions, and no other package depends on the platform's names.
"""
