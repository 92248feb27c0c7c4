from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.policy.exceptions import UnknownProfileError
from magnoliapitch.policy.options import PolicyWeights
from magnoliapitch.policy.options import options_of
from magnoliapitch.settings import InvalidSettingsError
from magnoliapitch.settings import load_settings


if TYPE_CHECKING:
    from pathlib import Path


VALID = """\
instance_id = "entry-1"
zone = "xela-norte"
[platform]
log_url = "http://127.0.0.1:9000/log"
instance_list_url = "http://127.0.0.1:9000"
[listeners]
caller_port = 8000
"""


def problems_of(
    folder: Path, text: str, environment: dict[str, str] | None = None
) -> tuple[str, ...]:
    path = folder / "entry.toml"
    path.write_text(text)
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(path, environment or {})
    return tuple(
        item.removeprefix(str(path)) for item in caught.value.problems
    )


def test_settings_take_address_and_zone_from_the_environment(
    tmp_path: Path,
) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(VALID)
    loaded = load_settings(
        path,
        {"MAGNOLIAPITCH_ADDRESS": "127.0.0.2", "MAGNOLIAPITCH_ZONE": "z2"},
    )
    assert (loaded.address, loaded.zone) == ("127.0.0.2", "z2")
    assert loaded.listeners.caller_port == 8000


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (
            "caller_port = 8000",
            "caler_port = 1",
            ":7: listeners.caler_port: unknown key; did you mean caller_port?",
        ),
        (
            "caller_port = 8000",
            "caller_port = 70000",
            ":7: listeners.caller_port: found 70000; "
            "input should be less than or equal to 65535",
        ),
        (
            "caller_port = 8000",
            'caller_port = "8000"',
            ":7: listeners.caller_port: found '8000'; "
            "input should be a valid integer",
        ),
        (
            "caller_port = 8000",
            "caller_port = 8081",
            ": listeners: the ports [8081, 8081, 8082] must differ "
            "from each other",
        ),
        ('zone = "xela-norte"', "", ": zone: missing; it has no default"),
        (
            'zone = "xela-norte"',
            'zone = "z"\naddress = "localhost"',
            ":3: address: found 'localhost'; must be an IP address such as "
            "10.0.3.7, not a host name",
        ),
        (
            '"http://127.0.0.1:9000/log"',
            '"http://platform:9000/log"',
            ":4: platform.log_url: found 'http://platform:9000/log'; must "
            "be an IP address such as 10.0.3.7, not a host name",
        ),
        (
            '"http://127.0.0.1:9000/log"',
            '"127.0.0.1"',
            ":4: platform.log_url: found '127.0.0.1'; must be a URL such as "
            "http://10.0.3.7:9000/log",
        ),
        (
            'zone = "xela-norte"',
            "zone = ",
            ": not TOML: Invalid value (at line 2, column 8)",
        ),
    ],
)
def test_settings_name_line_key_found_and_allowed(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    assert old in VALID
    assert problems_of(tmp_path, VALID.replace(old, new)) == (expected,)


def test_settings_name_the_variable_that_is_wrong(tmp_path: Path) -> None:
    problems = problems_of(tmp_path, VALID, {"MAGNOLIAPITCH_ADDRESS": "here"})
    assert problems[0].startswith(
        "environment variable MAGNOLIAPITCH_ADDRESS: address: found 'here'"
    )


def test_settings_name_a_file_that_is_missing(tmp_path: Path) -> None:
    with pytest.raises(InvalidSettingsError, match="cannot be read: No such"):
        load_settings(tmp_path / "none.toml")


def test_settings_take_weights_as_a_profile_or_as_numbers(
    tmp_path: Path,
) -> None:
    path = tmp_path / "entry.toml"
    start = (
        'instance_id = "entry-1"\nzone = "zone"\n'
        'profile = "packing-first"\n'
        '[platform]\nlog_url = "memory:"\ninstance_list_url = "memory:"\n'
    )
    path.write_text(start)
    named = load_settings(path)
    options = options_of(named.profile, named.weights)
    assert options.weights.short_first == 0.0
    path.write_text(f"{start}[weights]\nshort_first = 0.5\n")
    numbers = load_settings(path)
    options = options_of(numbers.profile, numbers.weights)
    assert options.weights == PolicyWeights(short_first=0.5)
    path.write_text(f"{start}[weights]\nshort_first = 2.0\n")
    with pytest.raises(InvalidSettingsError, match="short_first"):
        load_settings(path)
    path.write_text(start.replace("packing-first", "fastest"))
    with pytest.raises(UnknownProfileError, match="packing-first"):
        options_of(load_settings(path).profile)
