"""Names that identify a request across all attempts of its caller."""

from __future__ import annotations

from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.request_fingerprint import content_name, request_fingerprint

TEXTS = ("tenant", "POST", "host", "/x?y=1", "model")
SHAPE = PromptShape((PromptPart("a", 10), PromptPart("b", 20)), 50)


def test_the_fingerprint_covers_each_field_but_not_the_expected_output() -> None:
    first = request_fingerprint(TEXTS, SHAPE, b"body")
    assert first == request_fingerprint(TEXTS, PromptShape(SHAPE.parts, 51), b"body")
    others = [
        request_fingerprint((*TEXTS[:place], "other", *TEXTS[place + 1 :]), SHAPE, b"body")
        for place in range(len(TEXTS))
    ]
    others.append(request_fingerprint(TEXTS, None, b"body"))
    others.append(request_fingerprint(TEXTS, SHAPE, b"other"))
    others.append(request_fingerprint(TEXTS, PromptShape(SHAPE.parts[:1], 50), b"body"))
    changed = (PromptPart("a", 11), PromptPart("b", 20))
    others.append(request_fingerprint(TEXTS, PromptShape(changed, 50), b"body"))
    assert len({first, *others}) == 1 + len(others)
    assert 0 <= first < 2**64


def test_field_boundaries_change_the_fingerprint() -> None:
    assert request_fingerprint(("ab", "c"), None, b"") != request_fingerprint(
        ("a", "bc"), None, b""
    )


def test_the_content_name_covers_only_tenant_path_and_body() -> None:
    first = content_name("tenant", "/x", b"body")
    others = {
        content_name("other", "/x", b"body"),
        content_name("tenant", "/y", b"body"),
        content_name("tenant", "/x", b"other"),
        content_name("tenant", "/xbody", b""),
    }
    assert first == content_name("tenant", "/x", b"body")
    assert len({first, *others}) == 5
