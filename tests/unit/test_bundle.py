from __future__ import annotations

import pytest

from hillstack.config.bundle import Bundle, parse_bundle
from hillstack.config.signing import SignedBundle, SignedKeyset, sign, verify_bundle
from hillstack.core.rollout import BundleAdopter
from hillstack.errors import BundleError, SignatureError
from tests.builders import Signers, child_of, make_bundle


def test_canonical_bytes_do_not_depend_on_key_order() -> None:
    bundle = make_bundle()
    fields = dict(reversed(list(bundle.model_dump().items())))
    assert Bundle.model_validate(fields).canonical() == bundle.canonical()


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"zones": ("zone-a", "zone-a")}, "stands twice"),
        ({"models": [{"name": "m", "pool": "applications", "weights_version": 1}]}, "engine pool"),
        ({"unknown": 1}, "unknown"),
        ({"block_tokens": 3}, "block_tokens"),
    ],
)
def test_invalid_bundles_name_the_reason(change: dict[str, object], word: str) -> None:
    import json

    text = json.dumps(make_bundle().model_dump(mode="json") | change)
    with pytest.raises(BundleError, match=word):
        parse_bundle(text, "test")


def test_too_few_signatures_are_refused() -> None:
    signers = Signers()
    signed = signers.sign(make_bundle(), ("alpha",))
    with pytest.raises(SignatureError, match="beta"):
        verify_bundle(signed, signers.keyset)


def test_one_partner_cannot_sign_twice() -> None:
    signers = Signers()
    signed = signers.sign(make_bundle(), ("alpha", "alpha"))
    with pytest.raises(SignatureError):
        verify_bundle(signed, signers.keyset)


def test_a_changed_payload_is_refused() -> None:
    signers = Signers()
    signed = signers.sign(make_bundle())
    other = make_bundle(block_tokens=200).canonical().decode()
    forged = SignedBundle(payload=other, signatures=signed.signatures)
    with pytest.raises(SignatureError):
        verify_bundle(forged, signers.keyset)


def test_a_payload_that_is_not_canonical_is_refused() -> None:
    signers = Signers()
    text = make_bundle().model_dump_json(indent=1)
    with pytest.raises(BundleError, match="canonical"):
        verify_bundle(SignedBundle(payload=text), signers.keyset)


def test_keyset_rotation_transfers_trust() -> None:
    old, new = Signers(), Signers(("alpha", "gamma"), version=2)
    link = SignedKeyset(keyset=new.keyset)
    signatures = tuple(sign(link.signed_bytes(), name, key) for name, key in old.private.items())
    link = link.model_copy(update={"signatures": signatures})
    first = make_bundle()
    second = child_of(first, keyset_version=2)
    third = child_of(second)
    signed_third = new.sign(third).model_copy(update={"keysets": (link,)})
    assert verify_bundle(signed_third, old.keyset) == third
    with pytest.raises(SignatureError):
        verify_bundle(new.sign(third), old.keyset)


def test_a_replaced_keyset_can_no_longer_sign() -> None:
    old, new = Signers(), Signers(("alpha", "gamma"), version=2)
    link = SignedKeyset(keyset=new.keyset)
    signatures = tuple(sign(link.signed_bytes(), name, key) for name, key in old.private.items())
    link = link.model_copy(update={"signatures": signatures})
    first = make_bundle()
    second = child_of(first, keyset_version=2)
    adopter = BundleAdopter(old.keyset, "zone-a")
    adopter.consider(old.sign(second).model_copy(update={"keysets": (link,)}), 0.0)
    stale = child_of(second, version=4, signed_by_keyset=1)
    with pytest.raises(BundleError, match="replaced"):
        adopter.consider(old.sign(stale).model_copy(update={"keysets": (link,)}), 1.0)


def test_a_bundle_without_the_zone_is_refused() -> None:
    signers = Signers()
    adopter = BundleAdopter(signers.keyset, "elsewhere")
    with pytest.raises(BundleError, match="elsewhere"):
        adopter.consider(signers.sign(make_bundle()), 0.0)


def test_a_direct_child_must_name_its_parent() -> None:
    signers = Signers()
    adopter = BundleAdopter(signers.keyset, "zone-a")
    first = make_bundle()
    adopter.consider(signers.sign(first), 0.0)
    wrong_parent = child_of(first, parent_digest="f" * 64)
    with pytest.raises(BundleError, match="descend"):
        adopter.consider(signers.sign(wrong_parent), 1.0)
