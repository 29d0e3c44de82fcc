"""Signed bundles and the chain of keysets against which their signatures are verified.

Trust starts at the root keyset of the settings. A later keyset is valid when enough partners of
the previous keyset signed it. A bundle is valid when enough partners of the keyset that was in
force for its parent signed it.
"""

from __future__ import annotations

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from pydantic import ValidationError

from hillstack.config.bundle import Bundle, Keyset, Strict, describe_validation, parse_bundle
from hillstack.errors import BundleError, SignatureError

BUNDLE_CONTEXT = b"hillstack bundle 1\n"
KEYSET_CONTEXT = b"hillstack keyset 1\n"


class Signature(Strict):
    """One partner's Ed25519 signature, in hex."""

    partner: str
    signature: str


class SignedKeyset(Strict):
    """A keyset signed by partners of the previous keyset."""

    keyset: Keyset
    signatures: tuple[Signature, ...] = ()

    def signed_bytes(self) -> bytes:
        """Return the bytes that the signatures cover."""
        return KEYSET_CONTEXT + self.keyset.model_dump_json().encode()


class SignedBundle(Strict):
    """A bundle's canonical text, its signatures and the keysets since the root."""

    payload: str
    signatures: tuple[Signature, ...] = ()
    keysets: tuple[SignedKeyset, ...] = ()

    def bundle(self) -> Bundle:
        """Parse the payload.

        Raises:
            BundleError: The payload is invalid or not canonical.
        """
        bundle = parse_bundle(self.payload, "signed bundle")
        if bundle.canonical() != self.payload.encode():
            raise BundleError("payload is not canonical", step="parse bundle")
        return bundle

    def signed_bytes(self) -> bytes:
        """Return the bytes that the signatures cover."""
        return BUNDLE_CONTEXT + self.payload.encode()


def parse_signed_bundle(text: bytes | str, source: str) -> SignedBundle:
    """Parse a signed bundle from JSON.

    Raises:
        BundleError: The text is not a signed bundle.
    """
    try:
        return SignedBundle.model_validate_json(text)
    except ValidationError as error:
        raise BundleError(describe_validation(error), step="parse", peer=source) from error


def generate_key() -> tuple[str, str]:
    """Return a new private key and its public key, both in hex."""
    private = Ed25519PrivateKey.generate()
    return private.private_bytes_raw().hex(), private.public_key().public_bytes_raw().hex()


def public_key_of(private_key: str) -> str:
    """Return the public key of a private key, both in hex.

    Raises:
        ValueError: The private key is malformed.
    """
    private = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    return private.public_key().public_bytes_raw().hex()


def sign(content: bytes, partner: str, private_key: str) -> Signature:
    """Sign bytes as a partner.

    Raises:
        SignatureError: The private key is malformed.
    """
    try:
        key = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    except ValueError as error:
        raise SignatureError("malformed private key", step="sign", peer=partner) from error
    return Signature(partner=partner, signature=key.sign(content).hex())


def verify_threshold(content: bytes, signatures: tuple[Signature, ...], keyset: Keyset) -> None:
    """Check that enough distinct partners of the keyset signed the content.

    Raises:
        SignatureError: Too few signatures are valid; the message lists the missing partners.
    """
    valid = {entry.partner for entry in signatures if _is_valid(content, entry, keyset)}
    if len(valid) < keyset.threshold:
        missing = sorted(set(keyset.keys) - valid)
        raise SignatureError(
            f"{len(valid)} valid signatures, {keyset.threshold} needed; missing: {missing}",
            step="verify",
        )


def keyset_chain(root: Keyset, keysets: tuple[SignedKeyset, ...]) -> dict[int, Keyset]:
    """Verify the keysets after the root and return all of them, with the root, by version.

    Raises:
        SignatureError: A keyset lacks signatures or its version does not follow the previous one.
    """
    chain = {root.version: root}
    current = root
    for link in keysets:
        if link.keyset.version <= root.version:
            continue
        if link.keyset.version != current.version + 1:
            raise SignatureError(f"keyset {link.keyset.version} out of order", step="verify")
        verify_threshold(link.signed_bytes(), link.signatures, current)
        current = link.keyset
        chain[current.version] = current
    return chain


def verify_bundle(signed: SignedBundle, root: Keyset) -> Bundle:
    """Check a signed bundle against the root keyset and return its content.

    Raises:
        BundleError: The bundle is malformed.
        SignatureError: Too few partners of the right keyset signed the bundle, or the keyset is
            missing.
    """
    bundle = signed.bundle()
    chain = keyset_chain(root, signed.keysets)
    signers = chain.get(bundle.signed_by_keyset)
    if signers is None or bundle.keyset_version not in chain:
        raise SignatureError(f"no keyset {bundle.signed_by_keyset} in the chain", step="verify")
    verify_threshold(signed.signed_bytes(), signed.signatures, signers)
    return bundle


def _is_valid(content: bytes, entry: Signature, keyset: Keyset) -> bool:
    public = keyset.keys.get(entry.partner)
    if public is None:
        return False
    try:
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(bytes.fromhex(entry.signature), content)
    except (InvalidSignature, ValueError):
        return False
    return True
