"""Short end-to-end tests of the whole request path with real processes."""

from __future__ import annotations

import json
import random
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

import pytest
from local_fleet import LocalFleet, RouterHandle, get_json, post_json, wait_until
from openai import OpenAI

from hillstack.core.claims import make_key
from hillstack.emulator.generation import expected_text

KEY_SETTLE_SECONDS = 2.5


@pytest.fixture(scope="module")
def fleet() -> Iterator[LocalFleet]:
    with LocalFleet("tampere", engines=3) as running:
        # Replicas accept only idempotency keys made a little after they connected to each other,
        # which takes longer on a busy machine.
        for number in range(len(running.routers)):
            wait_until(lambda n=number: books(running, n), f"router {number} books")
        time.sleep(KEY_SETTLE_SECONDS)
        yield running


def call(
    fleet: LocalFleet, router: int, path: str, body: object, **headers: str
) -> tuple[int, dict[str, Any], dict[str, str]]:
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    defaults = {
        "authorization": f"Bearer {fleet.token(fleet.plan['tenants'][0])}",
        "content-type": "application/json",
    }
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{fleet.routers[router].callers}{path}",
        data=data,
        headers=defaults | names,
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return response.status, json.loads(response.read()), dict(response.headers)
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read()), dict(error.headers)


def test_the_openai_client_streams_unchanged(fleet: LocalFleet) -> None:
    client = OpenAI(
        base_url=f"http://{fleet.routers[0].callers}/v1",
        api_key=fleet.token(fleet.plan["tenants"][0]),
    )
    assert [model.id for model in client.models.list()] == [fleet.plan["model"]]
    stream = client.chat.completions.create(
        model=fleet.plan["model"],
        messages=[{"role": "user", "content": "When does the crew arrive?"}],
        max_tokens=20,
        stream=True,
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text == expected_text("<|user|>\nWhen does the crew arrive?\n", 20)


def test_a_whole_completion_reports_cached_tokens(fleet: LocalFleet) -> None:
    body = {"model": fleet.plan["model"], "prompt": "y" * 4_200, "max_tokens": 3}
    first = call(fleet, 0, "/v1/completions", body)
    assert first[0] == 200
    assert first[1]["choices"][0]["text"] == expected_text(body["prompt"], 3)
    second = call(fleet, 0, "/v1/completions", body)
    assert second[1]["usage"]["prompt_tokens_details"]["cached_tokens"] == 4_000


def test_another_tenants_prompt_is_never_served_from_the_cache(fleet: LocalFleet) -> None:
    body = {"model": fleet.plan["model"], "prompt": "z" * 4_200, "max_tokens": 3}
    call(fleet, 0, "/v1/completions", body)
    other = f"Bearer {fleet.token(fleet.plan['tenants'][1])}"
    answer = call(fleet, 0, "/v1/completions", body, authorization=other)
    assert answer[1]["usage"]["prompt_tokens_details"]["cached_tokens"] == 0


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "code"),
    [
        ("/v1/completions", b"{", {}, 400, "invalid_json"),
        ("/v1/completions", {"model": "none", "prompt": "x"}, {}, 404, "model_not_found"),
        ("/v1/completions", {"prompt": "x"}, {}, 400, "invalid_body"),
        ("/v1/completions", {}, {"authorization": "Bearer no"}, 401, "invalid_key"),
        ("/v1/completions", {}, {"x-request-timeout": "soon"}, 400, "bad_deadline"),
        ("/v1/completions", b"x" * 4_100_000, {}, 413, "body_too_long"),
        ("/v1/completions", {}, {"x-long": "x" * 20_000}, 431, "headers_too_long"),
        ("/nowhere", {}, {}, 404, "no_route"),
        ("/bookings", {}, {"idempotency-key": "k" * 300}, 400, "bad_key"),
    ],
    ids=lambda value: str(value)[:20],
)
def test_bad_input_gets_a_typed_error(
    fleet: LocalFleet, path: str, body: object, headers: dict[str, str], status: int, code: str
) -> None:
    names = {name.replace("-", "_"): value for name, value in headers.items()}
    answer = call(fleet, 0, path, body, **names)
    assert (answer[0], answer[1]["error"]["code"]) == (status, code)
    assert answer[1]["error"]["step"] == "check request"


def test_a_booking_runs_once_over_repeats_through_other_routers(fleet: LocalFleet) -> None:
    key = make_key(time.time(), 1)
    answers = [call(fleet, n, "/bookings", {"a": 1}, idempotency_key=key) for n in (0, 1, 2)]
    assert [status for status, _, _ in answers] == [200, 200, 200]
    assert len({json.dumps(body) for _, body, _ in answers}) == 1
    assert executions(fleet, key) == 1


def test_a_repeat_after_its_router_was_killed_does_not_run_again(fleet: LocalFleet) -> None:
    key = make_key(time.time(), 2)
    assert call(fleet, 1, "/bookings", {"a": 1}, idempotency_key=key)[0] == 200
    fleet.routers[1].process.kill()
    again = call(fleet, 2, "/bookings", {"a": 1}, idempotency_key=key)
    assert again[0] == 200
    assert again[2]["x-repeated"] == "true"
    assert executions(fleet, key) == 1
    fleet.routers[1].process.start()
    fleet.wait_ready([fleet.routers[1]])


def test_a_lost_answer_is_unknown_and_the_repeat_does_not_run(fleet: LocalFleet) -> None:
    for name in fleet.application_ids():
        post_json(fleet.addresses[name], "/emulator/faults", {"lose_answers": True})
    key = make_key(time.time(), 3)
    first = call(fleet, 0, "/bookings", {"a": 1}, idempotency_key=key)
    for name in fleet.application_ids():
        post_json(fleet.addresses[name], "/emulator/faults", {})
    second = call(fleet, 2, "/bookings", {"a": 1}, idempotency_key=key)
    assert first[1]["error"]["outcome"] == "unknown"
    assert first[1]["error"]["peer"]
    assert (second[0], second[1]["error"]["outcome"]) == (409, "unknown")
    assert executions(fleet, key) == 1
    fleet.wait_ready()


def test_a_broken_stream_resumes_on_another_engine(fleet: LocalFleet) -> None:
    for name in fleet.engine_ids()[:2]:
        post_json(fleet.addresses[name], "/emulator/faults", {"crash_after_tokens": 5})
    client = OpenAI(
        base_url=f"http://{fleet.routers[0].callers}/v1",
        api_key=fleet.token(fleet.plan["tenants"][0]),
    )
    for number in range(4):
        prompt = f"resume {number}"
        stream = client.completions.create(
            model=fleet.plan["model"], prompt=prompt, max_tokens=20, stream=True
        )
        text = "".join(chunk.choices[0].text for chunk in stream)
        assert text == expected_text(prompt, 20)
    for name in fleet.engine_ids():
        post_json(fleet.addresses[name], "/emulator/faults", {})
    fleet.wait_ready()


def test_a_restarted_router_serves_while_the_platform_is_down(fleet: LocalFleet) -> None:
    post_json(fleet.platform, "/emulator/faults", {"outage": True})
    try:
        for router in fleet.routers[1:]:
            router.process.kill()
            router.process.start()
        for router in fleet.routers[1:]:
            wait_until(lambda r=router: serves(fleet, r), f"{router.zone} serves")
    finally:
        post_json(fleet.platform, "/emulator/faults", {})
    fleet.wait_ready()


def test_of_two_rollouts_from_one_version_the_first_wins_on_all_routers(fleet: LocalFleet) -> None:
    for name in ("left", "right"):
        target = fleet.folder / f"{name}.json"
        fleet.cli("bundle", "next", str(fleet.bundle_path), str(target))
        content = json.loads(target.read_text())
        content["retries"]["ratio"] = 0.3 if name == "left" else 0.4
        target.write_text(json.dumps(content))
    won = fleet.rollout(fleet.folder / "left.json")
    lost = fleet.rollout(fleet.folder / "right.json")
    assert won.returncode == 0, won.stderr
    assert json.loads(won.stdout)["in_force_everywhere"]
    assert lost.returncode == 4
    assert "head is version 2" in lost.stderr
    digests = {get_json(r.callers, "/status")["bundle"]["digest"] for r in fleet.routers}
    assert digests == {json.loads(won.stdout)["digest"]}


def test_new_weights_are_loaded_on_all_engines_while_requests_go_on(fleet: LocalFleet) -> None:
    source, target = fleet.folder / "now.json", fleet.folder / "weights.json"
    fleet.cli("bundle", "fetch", str(source), "--platform", fleet.platform)
    fleet.cli("bundle", "next", str(source), str(target))
    content = json.loads(target.read_text())
    content["models"][0]["weights_version"] = 2
    target.write_text(json.dumps(content))
    assert fleet.rollout(target).returncode == 0
    body = {"model": fleet.plan["model"], "prompt": "w" * 3_200, "max_tokens": 3}
    statuses = []

    def all_loaded() -> bool:
        statuses.append(call(fleet, 0, "/v1/completions", body)[0])
        pages = [get_json(fleet.addresses[name], "/status") for name in fleet.engine_ids()]
        return all(page["weights_version"] == 2 for page in pages)

    def executions() -> list[dict[str, Any]]:
        pages = [get_json(fleet.addresses[n], "/emulator/executions") for n in fleet.engine_ids()]
        return [entry for page in pages for entry in page]

    def new_salt_is_used() -> bool:
        statuses.append(call(fleet, 0, "/v1/completions", body)[0])
        return any("/2/" in entry["salt"] for entry in executions())

    wait_until(all_loaded, "all engines serve weights 2")
    # The last call may have run before the last engine loaded; later calls use the new salt.
    wait_until(new_salt_is_used, "a request runs under the salt of weights 2")
    assert set(statuses) == {200}
    # No engine that still served the older weights cached anything under the new salt.
    assert not [e for e in executions() if "/2/" in e["salt"] and e["weights_version"] < 2]


def books(fleet: LocalFleet, router: int) -> bool:
    key = make_key(time.time(), random.getrandbits(80))
    return call(fleet, router, "/bookings", {"a": 0}, idempotency_key=key)[0] == 200


def serves(fleet: LocalFleet, router: RouterHandle) -> bool:
    number = fleet.routers.index(router)
    if get_json(router.callers, "/status") is None:
        return False
    body = {"model": fleet.plan["model"], "prompt": "restarted", "max_tokens": 3}
    return call(fleet, number, "/v1/completions", body)[0] == 200


def executions(fleet: LocalFleet, key: str) -> int:
    entries = [
        entry
        for name in fleet.application_ids()
        for entry in get_json(fleet.addresses[name], "/emulator/executions")
    ]
    return sum(1 for entry in entries if entry["key"] == key)
