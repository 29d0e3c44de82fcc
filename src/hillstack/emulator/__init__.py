"""Emulators of the systems that hillstack communicates with, for tests and demonstrations."""
