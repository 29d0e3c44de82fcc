"""The processes of router and fleet nodes: wiring, transports, background tasks, lifecycle."""
