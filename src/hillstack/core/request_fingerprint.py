"""Names under which crashes are counted: of requests across all attempts of a caller, and of parts.

Each attempt has an identifier of its own, but asks for the same work. A request has two names. The
fingerprint covers all stable properties of an attempt and separates requests that have only the
body in common. The content name covers only what callers are known to send unchanged on each retry.
A prompt part has one name, whatever else the prompts hold that contain it.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from hillstack.core.prompt_shape import PromptShape

# Width of a field's length prefix in the hashed bytes.
LENGTH_BYTES = 8


def request_fingerprint(texts: tuple[str, ...], shape: PromptShape | None, body: bytes) -> int:
    """Return a 64-bit hash over the properties that stay the same when a caller retries a request.

    Args:
        texts: Tenant, method, host, target and model.
        shape: Parts of the prompt; None where they are not known.
        body: The request's body.
    """
    fields = [text.encode() for text in texts]
    if shape is not None:
        for part in shape.parts:
            fields.append(part.part_id.encode())
            fields.append(str(part.tokens).encode())
    fields.append(body)
    return _hash(fields)


def content_name(tenant: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash over path, tenant and body: the minimum that all attempts share.

    Different requests can have the same content name, such as requests without a body that differ
    in their query.

    Args:
        tenant: Name of the tenant; empty if there is none.
        path: Path of the request, without the query.
        body: The request's body.
    """
    return _hash([tenant.encode(), path.encode(), body])


def part_name(part_id: str) -> int:
    """Return a 64-bit hash of the identifier of a prompt part, which many requests share."""
    return _hash([part_id.encode()])


def _hash(fields: list[bytes]) -> int:
    # The lengths make the encoding unique: no two lists of fields give the same bytes.
    lengths = b"".join(len(field).to_bytes(LENGTH_BYTES, "big") for field in fields)
    return xxh3_64_intdigest(lengths + b"".join(fields))
