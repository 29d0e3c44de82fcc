"""Adoption of configuration bundles: only verified bundles with a higher version are adopted."""

from __future__ import annotations

from dataclasses import dataclass

from hillstack.config.bundle import Bundle, Keyset
from hillstack.config.signing import SignedBundle, verify_bundle
from hillstack.errors import BundleError


@dataclass(frozen=True, slots=True)
class Adoption:
    """A bundle in force.

    Attributes:
        adopted_at: Time of adoption on this node's clock, in seconds.
    """

    signed: SignedBundle
    bundle: Bundle
    digest: str
    adopted_at: float


class BundleAdopter:
    """Holds the bundle in force on a node; its version never decreases.

    Args:
        root: Root keyset from the settings.
        zone: Zone of the node; bundles that do not list it are refused.
    """

    def __init__(self, root: Keyset, zone: str) -> None:
        self._root = root
        self._zone = zone
        self._current: Adoption | None = None

    @property
    def current(self) -> Adoption | None:
        """The bundle in force; None before the first bundle."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 before the first bundle."""
        return self._current.bundle.version if self._current else 0

    def consider(self, signed: SignedBundle, now: float) -> bool:
        """Adopt a bundle if it is newer and valid.

        Returns:
            Whether the bundle was adopted; False if the version in force is equal or higher.

        Raises:
            BundleError: The bundle is invalid, not signed by a current keyset, or does not descend
                from the bundle in force.
        """
        bundle = signed.bundle()
        if bundle.version <= self.version:
            return False
        verify_bundle(signed, self._root)
        if self._zone not in bundle.zones:
            raise BundleError(f"the bundle does not list zone {self._zone}", step="adopt bundle")
        self._check_descent(bundle)
        self._current = Adoption(signed, bundle, bundle.digest(), now)
        return True

    def _check_descent(self, bundle: Bundle) -> None:
        if self._current is None:
            return
        current = self._current.bundle
        if bundle.deployment != current.deployment:
            raise BundleError(
                f"the bundle belongs to deployment {bundle.deployment}", step="adopt bundle"
            )
        if bundle.signed_by_keyset < current.keyset_version:
            raise BundleError("the bundle is signed by a replaced keyset", step="adopt bundle")
        if bundle.version == current.version + 1 and bundle.parent_digest != self._current.digest:
            raise BundleError(
                "the bundle does not descend from the bundle in force", step="adopt bundle"
            )
