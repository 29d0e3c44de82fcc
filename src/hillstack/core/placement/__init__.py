"""Placement policies, one a file, behind one interface."""
