"""Request serving: admission, placement, attempts at runners, relay of the answer, outcome."""
