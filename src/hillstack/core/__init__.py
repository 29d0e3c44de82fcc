"""Decision logic of a node. It does no I/O; time and randomness are passed in.

The package serves two routers, which share only a few modules. What the first one calls a back end
or an engine, the second one calls a runner.

Router configured by signed bundles (used by ``gateway`` and ``daemon.node``): ``admission``,
``attempt``, ``bundle_index``, ``cache_index``, ``claims``, ``control``, ``fleet``, ``membership``,
``prefix``, ``prompt``, ``request_router``, ``retry_budget``, ``rollout``, ``weights``, and in
``placement`` all modules except the two below.

Router configured by items of a store (used by ``serving``, ``platform`` and ``daemon.fleet_node``):
``routing_table``, ``runner_pool`` and the other ``runner_*`` modules, ``part_index``,
``placement.cached_parts``, ``placement.expected_delay``, and all other modules.

Shared: ``rendezvous``, ``store_revision``.
"""
