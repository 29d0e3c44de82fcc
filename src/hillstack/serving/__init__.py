"""The life of one request: route, tenant, admission, placement, attempts, relay, outcome."""
