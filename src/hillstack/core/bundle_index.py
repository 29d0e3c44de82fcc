"""Lookup tables over a bundle, built once when the bundle is applied."""

from __future__ import annotations

from dataclasses import dataclass

from hillstack.config.bundle import Adapter, Bundle, Model, Priority, Route, Tenant
from hillstack.core.prefix import PrefixScope


@dataclass(frozen=True, slots=True)
class ServedModel:
    """The target of a model name in a request: a model, or an adapter on top of a model."""

    name: str
    model: Model
    adapter: Adapter | None = None

    def scope(self, tenant: str) -> PrefixScope:
        """Return the scope within which a tenant's prompts share cached blocks."""
        if self.adapter is None:
            return PrefixScope(tenant, self.model.name, self.model.weights_version)
        return PrefixScope(
            tenant,
            self.model.name,
            self.model.weights_version,
            self.adapter.name,
            self.adapter.version,
        )


@dataclass(frozen=True, slots=True)
class BundleIndex:
    """A bundle with its tenants, models and priorities indexed by the keys in requests."""

    bundle: Bundle
    tenants_by_key_hash: dict[str, Tenant]
    models: dict[str, ServedModel]
    priorities: dict[str, Priority]
    default_priority: Priority

    def route(self, method: str, path: str) -> Route | None:
        """Return the application route with the longest path that is a prefix of ``path``."""
        matching = [
            route
            for route in self.bundle.routes
            if route.method == method and _contains(route.path, path)
        ]
        return max(matching, key=lambda route: len(route.path), default=None)


def index_bundle(bundle: Bundle) -> BundleIndex:
    """Build the lookup tables of a bundle."""
    return BundleIndex(
        bundle=bundle,
        tenants_by_key_hash={tenant.key_hash: tenant for tenant in bundle.tenants},
        models=_served_models(bundle),
        priorities={priority.name: priority for priority in bundle.priorities},
        default_priority=max(bundle.priorities, key=lambda priority: priority.level),
    )


def _served_models(bundle: Bundle) -> dict[str, ServedModel]:
    served = {model.name: ServedModel(model.name, model) for model in bundle.models}
    for model in bundle.models:
        for adapter in model.adapters:
            served[adapter.name] = ServedModel(adapter.name, model, adapter)
    return served


def _contains(route_path: str, path: str) -> bool:
    return path == route_path or path.startswith(route_path.rstrip("/") + "/")
