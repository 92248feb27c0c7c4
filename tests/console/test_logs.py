from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.console.application import main


if TYPE_CHECKING:
    from pathlib import Path


HEAD = "time=2026-12-03T10:00:{second}Z level=info event={event} instance={at}"


def line(second: str, event: str, at: str, rest: str) -> str:
    return f"{HEAD.format(second=second, event=event, at=at)} {rest}\n"


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        line("01.500000", "step-starting", "a", "job=0a step=0 tasks=2")
        + "something else\n"
        + line("04.000000", "step-done", "a", "job=0a step=0")
        + line("04.100000", "step-done", "a", "job=0b step=0")
    )
    second.write_text(
        line(
            "01.000000",
            "call-answered",
            "b",
            'request_id=r1 job=0a reason="it is \\"so\\""',
        )
    )
    return [str(first), str(second)]


@pytest.mark.parametrize("wanted", ["0a", "r1"])
def test_explain_tells_one_story_over_all_files(
    wanted: str, files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["logs", "explain", wanted, *files])
    assert not ended.value.code
    told = capsys.readouterr().out.splitlines()
    assert [part.split()[3] for part in told if " ms  " in part] == [
        "call-answered",
        "step-starting",
        "step-done",
    ]
    assert any("2500 ms silent" in part for part in told)


def test_explain_says_when_nothing_is_known(files: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["logs", "explain", "0c", *files])
    assert ended.value.code


def test_explain_names_what_went_on_in_a_silence(
    files: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    third = tmp_path / "c.log"
    third.write_text(
        line("02.000000", "leadership-claimed", "c", "epoch=7")
        + line("02.500000", "store-unavailable", "c", "reason=cut")
        + line("02.500000", "step-done", "c", "job=0f")
    )
    other = tmp_path / "d.log"
    other.write_text(line("02.500000", "store-unavailable", "d", "reason=x"))
    with pytest.raises(SystemExit):
        main(["logs", "explain", "0a", *files, str(third), str(other)])
    told = capsys.readouterr().out.splitlines()
    aside = [part.split()[2:4] for part in told if "(meanwhile)" in part]
    assert aside == [["c", "leadership-claimed"], ["c", "store-unavailable"]]
