"""Settings shared by all tests: hypothesis draws the same examples on every run."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "project",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("project")
