"""The HTTP interface to callers and operators."""
