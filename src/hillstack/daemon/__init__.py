"""The processes of router and fleet nodes: wiring, transports, background tasks, lifecycle.

The package contains two separate kinds of nodes:

- Router nodes (``server``, ``node``) send requests to engines, as signed bundles configure. Their
  parts are ``backend_watch``, ``bundle_sync``, ``claim_coordinator``, ``metrics``,
  ``network_environment``, ``peer_transport``, ``ports`` and ``weights_duty``.
- Fleet nodes (``fleet_main``, ``fleet_process``, ``fleet_node``) send requests to the runners that
  a platform lists in its store. Their parts are the other modules.

Both use ``duty_lease``, ``key_value`` and ``suspensions``.
"""
