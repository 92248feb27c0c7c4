from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.settings import InvalidSettingsError
from magnoliapitch.settings.cluster import is_cluster_file
from magnoliapitch.settings.cluster import load_cluster_settings


if TYPE_CHECKING:
    from pathlib import Path


VALID = """
instance_id = "entry-1"
zone = "a"
[endpoints]
store = "10.0.0.1:80"
[listen]
callers = "10.0.0.2:80"
readiness = "10.0.0.2:81"
peer_port = 7720
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return path


def test_load_fills_in_defaults(tmp_path: Path) -> None:
    path = write(tmp_path, VALID)
    assert is_cluster_file(path)
    loaded = load_cluster_settings(path)
    assert loaded.leases.longest_ms == 10_000
    assert loaded.listen.metrics_port == 9_464


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('"10.0.0.1:80"', '"store.example:80"', "store"),
        ("7720", "0", "peer_port"),
        ('zone = "a"', "", "zone"),
        ('zone = "a"', 'zone = "a"\nzoen = "b"', "zoen"),
    ],
)
def test_load_names_the_key_that_is_wrong(
    tmp_path: Path, old: str, new: str, key: str
) -> None:
    path = write(tmp_path, VALID.replace(old, new))
    with pytest.raises(InvalidSettingsError, match=key):
        load_cluster_settings(path)
