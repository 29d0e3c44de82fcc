"""The router process: wiring, transports and lifecycle."""
