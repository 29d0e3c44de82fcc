"""Typed messages between nodes, and the code that encodes and decodes them."""
