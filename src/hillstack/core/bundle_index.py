"""Look-ups into a bundle, made once when it comes into force."""

from __future__ import annotations

from dataclasses import dataclass

from hillstack.config.bundle import Bundle, Model, Priority, Route, Tenant


@dataclass(frozen=True, slots=True)
class BundleIndex:
    """A bundle and its parts by the keys that requests carry."""

    bundle: Bundle
    tenants_by_key_hash: dict[str, Tenant]
    models: dict[str, Model]
    priorities: dict[str, Priority]
    default_priority: Priority

    def route(self, method: str, path: str) -> Route | None:
        """Return the application route with the longest path that contains a request's path."""
        matching = [
            route
            for route in self.bundle.routes
            if route.method == method and _contains(route.path, path)
        ]
        return max(matching, key=lambda route: len(route.path), default=None)


def index_bundle(bundle: Bundle) -> BundleIndex:
    """Build the look-ups of a bundle."""
    return BundleIndex(
        bundle=bundle,
        tenants_by_key_hash={tenant.key_hash: tenant for tenant in bundle.tenants},
        models={model.name: model for model in bundle.models},
        priorities={priority.name: priority for priority in bundle.priorities},
        default_priority=max(bundle.priorities, key=lambda priority: priority.level),
    )


def _contains(route_path: str, path: str) -> bool:
    return path == route_path or path.startswith(route_path.rstrip("/") + "/")
