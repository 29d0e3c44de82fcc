"""Adapter of the users' platform: names, formats, calls.

Nothing here decides anything, and nothing outside this folder knows the platform's names.
"""
