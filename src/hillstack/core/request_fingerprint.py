"""What names a request over all tries of its caller.

Each try has an identifier of its own; the work that it asks for stays the same. There are two
names. The fingerprint takes in all that a try shows, and tells apart requests that have the body
alone in common. The content name takes in no more than what a caller is known to keep.
"""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

from hillstack.core.prompt_shape import PromptShape

# Width of a field's length in what is hashed.
LENGTH_BYTES = 8


def request_fingerprint(texts: tuple[str, ...], shape: PromptShape | None, body: bytes) -> int:
    """Return a hash of 64 bits over what stays the same when a caller sends a request again.

    Args:
        texts: Tenant, method, host, target and model.
        shape: Parts of its prompt; None where they are not known.
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
    """Return a hash of 64 bits over path, tenant and body: the least that all tries share.

    Others may have it in common, too: requests without a body that differ in their query.

    Args:
        tenant: Empty where there is none.
        path: Without the query.
        body: The request's body.
    """
    return _hash([tenant.encode(), path.encode(), body])


def _hash(fields: list[bytes]) -> int:
    # With the lengths no two lists of fields give the same bytes.
    lengths = b"".join(len(field).to_bytes(LENGTH_BYTES, "big") for field in fields)
    return xxh3_64_intdigest(lengths + b"".join(fields))
