from __future__ import annotations

from pathlib import Path

import pytest

from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.standin.deployment import load_deployment
from magnoliapitch.standin.exceptions import InvalidDeploymentError


EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "cpu_millis", "memory_mb", "entries"),
    [("clubs", 32_000, 131_072, 7), ("rounds", 16_000, 32_768, 6)],
)
def test_deployment_examples_have_the_expected_sizes(
    name: str, cpu_millis: int, memory_mb: int, entries: int
) -> None:
    deployment = load_deployment(EXAMPLES / f"{name}.toml")
    assert len(deployment.zones) == 3
    assert deployment.workers_per_zone == 8
    assert deployment.backend_servers_per_zone == 8
    assert (deployment.slots, deployment.connections) == (8, 64)
    assert deployment.capacity[:2] == (cpu_millis, memory_mb)
    assert deployment.entries == entries
    assert sum(plan.requests for plan in deployment.requests) >= 300
    classes_by_name = {
        entry.name: entry.work_class for entry in deployment.catalogue
    }
    jobs_by_class = dict.fromkeys(WorkClass, 0)
    for plan in deployment.jobs:
        jobs_by_class[classes_by_name[plan.entry]] += plan.jobs
    assert set(jobs_by_class.values()) == {6}
    assert not all(entry.idempotent for entry in deployment.catalogue)


def test_deployment_rejects_work_of_an_unknown_catalogue_entry(
    tmp_path: Path,
) -> None:
    text = (EXAMPLES / "clubs.toml").read_text()
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace('entry = "seat-check"', 'entry = "seats"'))
    with pytest.raises(InvalidDeploymentError, match="found 'seats'; the cat"):
        load_deployment(path)
