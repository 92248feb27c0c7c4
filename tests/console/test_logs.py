from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.console.application import main


if TYPE_CHECKING:
    from pathlib import Path


LINE_HEAD = (
    "time=2026-12-03T10:00:{second}Z level=info event={event} "
    "instance={instance}"
)


def line(second: str, event: str, instance: str, extra: str) -> str:
    return (
        f"{LINE_HEAD.format(second=second, event=event, instance=instance)} "
        f"{extra}\n"
    )


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


@pytest.mark.parametrize("searched_id", ["0a", "r1"])
def test_explain_prints_events_of_all_files_in_order(
    searched_id: str, files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["logs", "explain", searched_id, *files])
    assert not ended.value.code
    printed = capsys.readouterr().out.splitlines()
    assert [part.split()[3] for part in printed if " ms  " in part] == [
        "call-answered",
        "step-starting",
        "step-done",
    ]
    assert any("2500 ms without an event" in part for part in printed)


def test_explain_fails_if_no_event_matches(files: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["logs", "explain", "0c", *files])
    assert ended.value.code


def test_explain_prints_instance_events_in_a_gap(
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
    printed = capsys.readouterr().out.splitlines()
    background = [
        part.split()[2:4] for part in printed if "(meanwhile)" in part
    ]
    assert background == [
        ["c", "leadership-claimed"],
        ["c", "store-unavailable"],
    ]


def write_submitted(tmp_path: Path, *later_lines: str) -> str:
    """Write the log of a job that was submitted; return the file's path."""
    file = tmp_path / "a.log"
    fields = "job=0a call=submit queue=q outcome=stored"
    submitted = line("01.000000", "call-answered", "a", fields)
    file.write_text("".join((submitted, *later_lines)))
    return str(file)


def test_delays_prints_slow_jobs_and_counts_their_causes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_submitted(
        tmp_path,
        line("06.000000", "step-starting", "a", "job=0a step=0"),
        line("07.000000", "step-done", "a", "job=0a outcome=completed"),
    )
    with pytest.raises(SystemExit) as ended:
        main(["logs", "delays", file])
    assert not ended.value.code
    printed = capsys.readouterr().out.splitlines()
    assert "0a" in printed[0]
    assert printed[-1].split() == ["1", "room"]


@pytest.mark.parametrize("options", [["--queue", "r"], []])
def test_delays_filters_by_queue_and_duration(
    options: list[str], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    done = line("03.000000", "step-done", "a", "job=0a outcome=completed")
    file = write_submitted(tmp_path, done)
    with pytest.raises(SystemExit):
        main(["logs", "delays", *options, file])
    assert capsys.readouterr().out == ""


def test_delays_of_files_without_events_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["logs", "delays", str(tmp_path / "missing.log")])
    assert ended.value.code
    assert "no event in 1 log files" in capsys.readouterr().err
