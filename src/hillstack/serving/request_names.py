"""Names of requests and of their prompt parts (``core.request_fingerprint``)."""

from __future__ import annotations

from hillstack.core.request_fingerprint import content_name, part_name, request_fingerprint
from hillstack.serving.job import Job


def names_of(job: Job) -> tuple[int, int]:
    """Return the fingerprint and the content name of a request."""
    return fingerprint_of(job), content_of(job)


def content_of(job: Job) -> int:
    """Return the content name of a request."""
    if job.content is None:
        job.content = content_name(job.tenant_name, job.request.path, job.request.body)
    return job.content


def fingerprint_of(job: Job) -> int:
    """Return the fingerprint of a request."""
    if job.fingerprint is None:
        request = job.request
        texts = (
            job.tenant_name,
            request.method,
            request.host,
            request.target,
            request.model,
        )
        job.fingerprint = request_fingerprint(texts, request.shape, request.body)
    return job.fingerprint


def shared_part_ids(job: Job) -> tuple[str, ...]:
    """Return the identifiers of the prompt parts that other requests may share."""
    shape = job.request.shape
    return tuple(part.part_id for part in shape.shared) if shape is not None else ()


def part_names_of(job: Job) -> tuple[int, ...]:
    """Return the names of all parts of a request's prompt, in order."""
    if job.part_names is None:
        shape = job.request.shape
        parts = shape.parts if shape is not None else ()
        job.part_names = tuple(part_name(part.part_id) for part in parts)
    return job.part_names


def shared_part_names(job: Job) -> tuple[int, ...]:
    """Return the names of the parts that other requests may share: all but the last one."""
    return part_names_of(job)[:-1]
